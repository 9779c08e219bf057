/** Fakes of the request path's dependencies, for its tests. */
import {setImmediate} from 'node:timers/promises';
import type {AnswerEvent} from '../../protocol/completion.ts';
import {systemClock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import {declarationSchema} from '../../protocol/declaration.ts';
import type {BillRecord, LedgerCommand} from '../../protocol/ledger.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {LedgerState} from '../../state/ledger/ledger_state.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import type {CompletionCall} from './admission.ts';
import {createBasicDecisions} from './basic_decisions_fake.ts';
import type {
  AttemptError,
  CompletionAttempt,
  Dispatcher,
  ServiceAnswer,
  ServiceAttempt,
} from './dispatch.ts';
import type {RequestContext} from './request_context.ts';
import {RequestHistory} from './request_history.ts';
import type {
  AttemptObservation,
  RequestObservation,
  StallObservation,
} from './request_observer.ts';
import type {ServiceCall} from './run_service_call.ts';
import {Settler} from './settler.ts';

/** One element of a scripted stream. */
export type ScriptedEvent = Outcome<AnswerEvent, AttemptError> | 'wait';

/** The responses of an endpoint to attempts. */
export interface Script {
  complete?(attempt: CompletionAttempt): ScriptedEvent[];
  call?(attempt: ServiceAttempt): Outcome<ServiceAnswer, AttemptError>;
}

/** Creates the chunks from `from` up to but excluding `to`, such as `1 2 `. */
export function createChunks(from: number, to: number): ScriptedEvent[] {
  return Array.from({length: to - from}, (_, index) =>
    succeed({
      type: 'delta' as const,
      offset: from + index,
      text: `${from + index} `,
    }),
  );
}

/** Creates the end of an answer of `tokens` tokens. */
export function createEnd(tokens: number): ScriptedEvent {
  return succeed({
    type: 'end',
    finishReason: 'stop',
    usage: {promptTokens: 10, completionTokens: tokens},
  });
}

/** Creates a failure of an attempt. */
export function createFailure(
  kind: AttemptError['kind'],
  silent = false,
): Outcome<never, AttemptError> {
  return fail({kind, message: kind, silent});
}

const declaration = declarationSchema.parse({
  version: 1,
  pools: [{name: 'drafting'}, {name: 'booking'}],
  versions: ['small', 'large'].map((name, index) => ({
    model: 'draft',
    name,
    pool: 'drafting',
    prompt_price: 100 + index,
    completion_price: 1_000 + index,
    expected_quality: 0.9,
  })),
  services: [
    {
      name: 'booking',
      pool: 'booking',
      calls: [
        {method: 'POST', path: '/bookings', price: 5},
        {method: 'GET', path: '/slots', repeatable: true},
      ],
    },
  ],
  customers: [
    {
      name: 'desk',
      key_sha256: '0'.repeat(64),
      versions: ['draft/*'],
      services: ['booking'],
    },
  ],
});

/** A gateway with scripted endpoints and an in-memory ledger. */
export class FakeGateway {
  readonly ledger = new LedgerState();
  readonly commands: LedgerCommand[] = [];
  readonly completions: CompletionAttempt[] = [];
  readonly calls: ServiceAttempt[] = [];
  readonly attempts: AttemptObservation[] = [];
  readonly requests: RequestObservation[] = [];
  readonly stalls: StallObservation[] = [];
  readonly context: RequestContext;
  view: ControlView | null = {
    revision: 1,
    declaration,
    withdrawals: [],
    rollouts: [],
    draining: [],
  } as ControlView;
  /** Replaced to make the ledger fail; `false` means no reply. */
  acceptsCommand: (command: LedgerCommand) => boolean = () => true;

  constructor(private readonly scripts: Record<string, Script>) {
    const endpoints = Object.keys(scripts).map(createEndpoint);
    const ledger: RequestContext['ledger'] = {
      submit: async (_customer, _key, command) => {
        if (!this.acceptsCommand(command)) return null;
        this.commands.push(command);
        return this.ledger.apply(command);
      },
    };
    const clock = {...systemClock, sleep: waitTurns};
    this.context = {
      gateway: 'a1',
      region: 'plovdiv',
      dataCentre: 'plovdiv-a',
      clock,
      random: () => 0.5,
      logger: silentLogger,
      dispatcher: this.createDispatcher(),
      ledger,
      settler: new Settler({ledger, clock, logger: silentLogger}),
      history: new RequestHistory(),
      decisions: createBasicDecisions({
        region: 'plovdiv',
        dataCentre: 'plovdiv-a',
        clock,
        random: () => 0.5,
        listEndpoints: () => endpoints,
      }),
      rate: async () => fail('no rating service is configured'),
      observer: {
        observeAttempt: each => this.attempts.push(each),
        observeStall: each => this.stalls.push(each),
        observeAnswer: () => {},
        observeRequest: each => this.requests.push(each),
      },
      getView: () => this.view,
      listEndpoints: () => endpoints,
    };
  }

  get bills(): readonly BillRecord[] {
    return this.ledger.readBills(0).bills;
  }

  createCompletion(options: Partial<CompletionCall> = {}): CompletionCall {
    const customer = declaration.customers[0];
    if (!customer) throw new Error('Could not find the customer');
    return {
      requestId: 'req_1',
      customer,
      request: {
        model: 'draft',
        messages: [{role: 'user', content: 'The tap water is brown.'}],
        stream: true,
      },
      key: 'req_1',
      digest: 'digest',
      ...options,
    };
  }

  createServiceCall(options: Partial<ServiceCall> = {}): ServiceCall {
    const customer = declaration.customers[0];
    const service = declaration.services[0];
    const call = service?.calls[0];
    if (!customer || !service || !call) {
      throw new Error('Could not find the call');
    }
    return {
      requestId: 'req_1',
      customer,
      service,
      call,
      method: 'POST',
      path: '/bookings',
      body: Buffer.from('{}'),
      key: 'key',
      digest: 'digest',
      ...options,
    };
  }

  private createDispatcher(): Dispatcher {
    return {
      openCompletion: (attempt, signal) => {
        this.completions.push(attempt);
        return this.runScript(attempt, signal);
      },
      callService: async attempt => {
        this.calls.push(attempt);
        const script = this.scripts[attempt.address];
        return script?.call?.(attempt) ?? createFailure('not-sent');
      },
    };
  }

  private async *runScript(
    attempt: CompletionAttempt,
    signal: AbortSignal,
  ): AsyncGenerator<Outcome<AnswerEvent, AttemptError>, void> {
    const script = this.scripts[attempt.address];
    const events = script?.complete?.(attempt) ?? [createFailure('not-sent')];
    for (const event of events) {
      if (event !== 'wait') {
        if (!event.ok && event.error.silent) {
          attempt.decideStall?.({silentMs: 0, sent: true});
        }
        yield event;
        continue;
      }
      await new Promise<void>(resolve => {
        if (signal.aborted) resolve();
        else signal.addEventListener('abort', () => resolve());
      });
      yield createFailure('lost');
      return;
    }
  }
}

/** Lets all pending work run that does not depend on time. */
async function waitTurns(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await setImmediate();
}

/** Uses the name as the address. Endpoints named with a final `+` resume. */
function createEndpoint(name: string, index: number): Endpoint {
  return {
    name,
    incarnation: '1',
    address: name,
    region: 'plovdiv',
    // The first is the nearest.
    dataCentre: index === 0 ? 'plovdiv-a' : 'plovdiv-b',
    pool: name.startsWith('s') ? 'booking' : 'drafting',
    versions: name.startsWith('s') ? [] : ['draft/small', 'draft/large'],
    slots: 16,
    versionSlots: 0,
    checksFencing: false,
    resumes: name.endsWith('+'),
    leaving: false,
    inFlight: index,
    loadTakenAt: 0,
  };
}
