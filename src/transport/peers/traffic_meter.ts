/**
 * Counts the calls to other daemons and their bytes by the name of the call.
 *
 * Reads the names and ids in the encoded messages, so that nothing is encoded
 * twice. Bytes of keep-alives and of what cannot be read count as `other`.
 */

/** The calls of one name, and the bytes of their requests and replies. */
export interface CallTraffic {
  calls: number;
  sentBytes: number;
  receivedBytes: number;
}

const OTHER = 'other';

/** Begins an encoded request, before its id. */
const REQUEST_ID = /^[[,]?\{"id":(\d+)/;

/** Precedes the name of the call, at the end of a request. */
const PATH = '"path":"';

/** The bytes of a reply within which its id stands. */
const REPLY_ID_BYTES = 24;

/** Open calls of a connection whose names are retained. */
const MAX_OPEN = 1_024;

export class TrafficMeter {
  private traffic = new Map<string, CallTraffic>();

  /** Creates the counter of one connection. */
  createConnection(): ConnectionMeter {
    return new ConnectionMeter(name => this.find(name));
  }

  /** Returns the counts since the last call, by the name of the call. */
  take(): ReadonlyMap<string, CallTraffic> {
    const {traffic} = this;
    this.traffic = new Map();
    return traffic;
  }

  private find(name: string): CallTraffic {
    const known = this.traffic.get(name);
    if (known) return known;
    const created = {calls: 0, sentBytes: 0, receivedBytes: 0};
    this.traffic.set(name, created);
    return created;
  }
}

/** Counts the messages of one connection. */
export class ConnectionMeter {
  /** The names of open calls by their ids. */
  private readonly open = new Map<string, string>();

  constructor(private readonly find: (name: string) => CallTraffic) {}

  /** Records a message to the daemon, which may hold several requests. */
  recordSent(message: string): void {
    let start = 0;
    for (;;) {
      const at = message.indexOf(PATH, start);
      if (at < 0) break;
      const nameAt = at + PATH.length;
      const end = message.indexOf('"', nameAt);
      const name = message.slice(nameAt, end);
      // Until the braces that close its parameters and the request.
      const next = Math.min(message.length, end + 3);
      const traffic = this.find(name);
      traffic.calls++;
      traffic.sentBytes += next - start;
      const [, id] = REQUEST_ID.exec(message.slice(start, start + 32)) ?? [];
      if (id !== undefined) this.remember(id, name);
      start = next;
    }
    this.find(OTHER).sentBytes += message.length - start;
  }

  /** Records a message of the daemon. */
  recordReceived(message: Buffer): void {
    const head = message.subarray(0, REPLY_ID_BYTES).toString('latin1');
    const [, id = ''] = REQUEST_ID.exec(head) ?? [];
    const name = this.open.get(id) ?? OTHER;
    this.open.delete(id);
    this.find(name).receivedBytes += message.length;
  }

  private remember(id: string, name: string): void {
    this.open.set(id, name);
    if (this.open.size <= MAX_OPEN) return;
    const [oldest] = this.open.keys();
    if (oldest !== undefined) this.open.delete(oldest);
  }
}
