/** Changes that each take a bound from orders, departures and answers. */
import type {Suite} from './suite.ts';

const FOLDER = 'src/coordination';
const BUDGET = `${FOLDER}/forwarding/answer_budget.ts`;
const ACCOUNT = `${FOLDER}/memory_account/memory_account.ts`;

export const ORDERS: Suite = {
  tests: [
    `${FOLDER}/orders/orders_test.ts`,
    `${FOLDER}/orders/join_proposals_test.ts`,
    `${FOLDER}/replication/proposer_test.ts`,
    `${FOLDER}/confirmation/confirmer_test.ts`,
    `${FOLDER}/core/follow_service_test.ts`,
    `${FOLDER}/forwarding/near_prompts_test.ts`,
    `${FOLDER}/forwarding/answer_budget_test.ts`,
  ],
  env: {},
  mutants: [
    {
      name: 'overtaken-order-committed-again',
      edits: [
        {
          file: `${FOLDER}/orders/find_stored.ts`,
          from: 'version >= command.version',
          to: 'version === command.version',
        },
      ],
    },
    {
      name: 'slow-leader-avoided',
      edits: [
        {
          file: `${FOLDER}/replication/proposer.ts`,
          from: 'if (!hasContact(name) || clock.monotonic() >= deadline) return null;',
          to: 'return null;',
        },
      ],
    },
    {
      name: 'identical-orders-not-joined-at-the-leader',
      edits: [
        {
          file: `${FOLDER}/orders/join_proposals.ts`,
          from: 'if (same) return same.reply;',
          to: 'void same;',
        },
      ],
    },
    {
      name: 'identical-orders-not-joined-at-a-daemon',
      edits: [
        {
          file: `${FOLDER}/orders/orders.ts`,
          from: 'this.open.get(key) ?? this.begin(key, command)',
          to: 'this.begin(key, command)',
        },
      ],
    },
    {
      name: 'work-for-callers-that-have-left',
      edits: [
        {
          file: `${FOLDER}/orders/orders.ts`,
          from: "order.left.abort('left');",
          to: '',
        },
      ],
    },
    {
      name: 'questions-for-each-departure',
      edits: [
        {
          file: `${FOLDER}/confirmation/daemon_questions.ts`,
          from: 'const changes = [...this.waiting];',
          to: 'const changes = [...this.waiting].slice(0, 1);',
        },
      ],
    },
    {
      name: 'replies-for-each-change',
      edits: [
        {
          file: `${FOLDER}/core/follow_service.ts`,
          from: 'Math.min(deadline, repliedAt + intervalMs)',
          to: 'Math.min(deadline, intervalMs === Infinity ? Infinity : -1)',
        },
      ],
    },
    {
      name: 'prompts-cross-regions',
      edits: [
        {
          file: `${FOLDER}/forwarding/endpoint_picker.ts`,
          from: 'near.length >= MIN_REGION_ENDPOINTS ? near : endpoints',
          to: 'near.length < 0 ? near : endpoints',
        },
      ],
    },
    {
      name: 'sum-of-answers-unbounded',
      edits: [
        {
          file: ACCOUNT,
          from: 'const maxKindBytes = kindBytes[kind] ?? Infinity;',
          to: 'const maxKindBytes = Infinity + (kindBytes[kind] ?? 0);',
        },
      ],
    },
    {
      name: 'no-shared-pace',
      edits: [
        {
          file: BUDGET,
          from: 'if (size > freeBytes) {',
          to: 'if (size < 0 * freeBytes) {',
        },
      ],
    },
  ],
  mustFail: true,
  describeOutput: () => [],
};
