/** Counts the messages of simulated daemons by daemon, second and name. */
import type {Clock} from '../../protocol/clock.ts';

const MS_PER_SECOND = 1_000;

/** The messages that one daemon sent and received in one second. */
export interface SecondTraffic {
  messages: number;
  bytes: number;
  /** The number and the bytes of the messages by their names. */
  readonly byName: Map<string, [messages: number, bytes: number]>;
}

interface PassedMessage {
  readonly name: string;
  readonly from: string;
  readonly to: string | undefined;
  readonly bytes: number;
}

export class TrafficRecord {
  /** By daemon and second. */
  private readonly seconds = new Map<string, Map<number, SecondTraffic>>();

  constructor(private readonly clock: Clock) {}

  record({name, from, to, bytes}: PassedMessage): void {
    for (const daemon of to === undefined ? [from] : [from, to]) {
      const second = this.find(daemon);
      second.messages++;
      second.bytes += bytes;
      const [messages, sum] = second.byName.get(name) ?? [0, 0];
      second.byName.set(name, [messages + 1, sum + bytes]);
    }
  }

  /** Lists what a daemon passed in the seconds that begin in a span, in ms. */
  list(daemon: string, fromMs: number, untilMs: number): SecondTraffic[] {
    return [...(this.seconds.get(daemon) ?? [])]
      .filter(
        ([second]) =>
          second * MS_PER_SECOND >= fromMs && second * MS_PER_SECOND < untilMs,
      )
      .map(([, traffic]) => traffic);
  }

  private find(daemon: string): SecondTraffic {
    const second = Math.floor(this.clock.monotonic() / MS_PER_SECOND);
    const seconds = this.seconds.get(daemon) ?? new Map();
    this.seconds.set(daemon, seconds);
    const known = seconds.get(second);
    if (known) return known;
    const created = {messages: 0, bytes: 0, byName: new Map()};
    seconds.set(second, created);
    return created;
  }
}
