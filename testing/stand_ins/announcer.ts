/** Announces a stand-in endpoint to daemons until disposed. */
import {request} from 'undici';
import {
  ANNOUNCE_INTERVAL_MS,
  type Announcement,
} from '../../src/protocol/endpoint.ts';

export interface AnnouncerOptions {
  /** The daemons to announce to, as IP address and port. */
  readonly daemons: readonly string[];
  readonly secret: string;
  readonly describe: () => Announcement;
}

/** Announces now and at every announcement interval. */
export function startAnnouncer(options: AnnouncerOptions): {
  announceNow: () => Promise<void>;
} & Disposable {
  const announceNow = async () => {
    const body = JSON.stringify(options.describe());
    const calls = options.daemons.map(async address => {
      const response = await request(`http://${address}/endpoints/announce`, {
        method: 'POST',
        headers: {authorization: `Bearer ${options.secret}`},
        body,
        headersTimeout: ANNOUNCE_INTERVAL_MS,
        bodyTimeout: ANNOUNCE_INTERVAL_MS,
      });
      await response.body.dump();
    });
    await Promise.allSettled(calls);
  };
  const timer = setInterval(() => void announceNow(), ANNOUNCE_INTERVAL_MS);
  void announceNow();
  return {announceNow, [Symbol.dispose]: () => clearInterval(timer)};
}
