/** Changes that let daemons tell each other again what they have. */
import type {Suite} from './suite.ts';

const FOLDER = 'src/coordination';
const QUARANTINE = `${FOLDER}/quarantine`;
const REPORTS = `${FOLDER}/gateway/report_differences.ts`;

export const NEWS: Suite = {
  tests: [
    `${FOLDER}/core/quiet_repetition_test.ts`,
    `${FOLDER}/core/exchange_task_test.ts`,
    `${FOLDER}/core/follow_service_test.ts`,
    `${FOLDER}/gateway/report_differences_test.ts`,
    `${QUARANTINE}/shared_suspects_test.ts`,
    `${FOLDER}/confirmation/held_departures_test.ts`,
  ],
  env: {},
  mutants: [
    {
      name: 'evicted-record-is-new-again',
      edits: [
        {
          file: `${QUARANTINE}/suspect_table.ts`,
          from: 'if (!known && this.evicted.matches(key, next)) return null;',
          to: '',
        },
      ],
    },
    {
      name: 'relayed-change-is-urgent',
      edits: [
        {
          file: `${QUARANTINE}/core_suspects.ts`,
          from: 'if (isOwn && hasDecisive) this.options.onUrgent();',
          to: 'if (hasDecisive) this.options.onUrgent();',
        },
      ],
    },
    {
      name: 'relayed-record-is-passed-on',
      edits: [
        {
          file: `${QUARANTINE}/core_suspects.ts`,
          from: 'if (isOwn) {',
          to: 'if (changes.length > 0) {',
        },
      ],
    },
    {
      name: 'exchange-sends-reports-entire',
      edits: [
        {
          file: `${FOLDER}/core/peer_outbox.ts`,
          from: ': gateways.listUrgent(this.urgentSince)',
          to: ': gateways.listDirect(this.gatewaysSince)',
        },
      ],
    },
    {
      name: 'exchanges-without-pace',
      edits: [
        {
          file: `${FOLDER}/core/exchange_task.ts`,
          from: 'urgentAt + BATCH_INTERVAL_MS - now',
          to: 'BATCH_DELAY_MS + 0 * BATCH_INTERVAL_MS',
        },
      ],
    },
    {
      name: 'lists-with-each-call',
      edits: [
        {
          file: REPORTS,
          from: 'now - this.listsAt < LISTS_INTERVAL_MS',
          to: 'now - this.listsAt < 0 * LISTS_INTERVAL_MS',
        },
      ],
    },
    {
      name: 'observations-with-each-call',
      edits: [
        {
          file: REPORTS,
          from: 'isKnown ? this.acknowledged : 0',
          to: 'isKnown ? 0 * this.acknowledged : 0',
        },
      ],
    },
    {
      name: 'all-crashes-with-each-change',
      edits: [
        {
          file: `${QUARANTINE}/shared_suspects.ts`,
          from: 'toldSince > after ? 0 : after',
          to: 'toldSince > after ? 0 : 0',
        },
      ],
    },
    {
      name: 'departures-with-each-question',
      edits: [
        {
          file: `${FOLDER}/confirmation/held_departures.ts`,
          from: 'if (this.run === null || known.length === 0) {',
          to: 'if (this.run === null || known.length >= 0) {',
        },
      ],
    },
  ],
  mustFail: true,
  describeOutput: () => [],
};
