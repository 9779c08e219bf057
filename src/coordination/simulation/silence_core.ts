/** A core daemon that knows suspects and permits trials, for one gateway. */
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {
  SuspectRecord,
  TrialReply,
  TrialRequest,
  TrialResult,
} from '../../protocol/suspect.ts';
import {CoreSuspects} from '../quarantine/core_suspects.ts';
import type {TrialClient} from '../quarantine/trial_client.ts';
import type {SilentWorker} from './silent_worker.ts';

/** The interval at which endpoints report that they are alive, in ms. */
const HEARTBEAT_MS = 500;

/** How long a call to the core takes, in ms. */
const CALL_MS = 20;

/** How long ago endpoints ended with a part that is learned of, in ms. */
const CRASH_AGE_MS = 100;

export class SilenceCore implements TrialClient {
  readonly clock = new SimulatedClock();
  private readonly suspects: CoreSuspects;
  private heardAt = 0;

  /**
   * @param tell Tells the gateway of suspects.
   */
  constructor(
    private readonly workers: readonly SilentWorker[],
    private readonly tell: (records: readonly SuspectRecord[]) => void,
  ) {
    this.suspects = new CoreSuspects({
      clock: this.clock,
      logger: silentLogger,
      listStarts: () => workers.map(({id}) => `${id}/1`),
      onChange: () => tell(this.suspects.table.list()),
      onUrgent: () => {},
    });
  }

  /** Learns of a part with which endpoints ended. */
  learn(part: string, level: number): void {
    const crashes = Array.from({length: level}, (_, index) => ({
      start: `gone${index}/1`,
      ageMs: CRASH_AGE_MS * (level - index),
      exposureMs: CRASH_AGE_MS,
      refutedAgeMs: null,
    }));
    const record: SuspectRecord = {
      service: 'app',
      kind: 'part',
      part,
      customers: [],
      level,
      isCondemned: false,
      crashes,
      clearedAgeMs: null,
    };
    this.suspects.merge([record], this.clock.monotonic());
    this.tell([record]);
  }

  async request(request: TrialRequest): Promise<TrialReply> {
    await this.clock.sleep(CALL_MS);
    this.hear();
    return this.suspects.openTrial(request);
  }

  async finish(result: TrialResult): Promise<void> {
    await this.clock.sleep(CALL_MS);
    this.hear();
    this.suspects.finishTrial(result);
  }

  /** Takes in the heartbeats that have come since it was last called. */
  private hear(): void {
    const now = this.clock.monotonic();
    for (; this.heardAt <= now; this.heardAt += HEARTBEAT_MS) {
      for (const worker of this.workers) {
        if (worker.findSpeech(this.heardAt) > this.heardAt) continue;
        this.suspects.recordAlive(`${worker.id}/1`, this.heardAt);
      }
    }
  }
}
