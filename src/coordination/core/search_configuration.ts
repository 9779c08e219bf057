/**
 * Searches the core for the daemon that can confirm the configuration.
 *
 * The presumed leader is asked first. If neither it nor a daemon to which it
 * redirects confirms the configuration, all others are asked at once and their
 * redirects followed. Every daemon is asked at most once.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Configuration, ReadReply} from '../../protocol/core_service.ts';

/** The timeout of one call. */
const CALL_TIMEOUT_MS = 400;

/** The deadline of the whole search; callers wait for a second. */
const SEARCH_DEADLINE_MS = 900;

export interface SearchConfigurationOptions {
  readonly clock: Clock;
  /** The daemon to ask first: the leader if one is known. */
  readonly first: string;
  /** The other daemons of the core. */
  readonly others: readonly string[];
  /** Calls one daemon; a rejected promise is treated as no reply. */
  readonly read: (address: string, timeoutMs: number) => Promise<ReadReply>;
}

export interface SearchConfigurationResult {
  /** `null` if no daemon confirmed it. */
  readonly configuration: Configuration | null;
  readonly asked: readonly string[];
  /** The daemons that did not reply, with the reason. */
  readonly failures: readonly string[];
}

/** Searches until a daemon confirms the configuration or none is left. */
export async function searchConfiguration({
  clock,
  first,
  others,
  read,
}: SearchConfigurationOptions): Promise<SearchConfigurationResult> {
  const deadline = clock.monotonic() + SEARCH_DEADLINE_MS;
  const asked = new Set<string>();
  const failures: string[] = [];
  const follow = async (address: string): Promise<Configuration | null> => {
    const leftMs = deadline - clock.monotonic();
    if (leftMs <= 0 || asked.has(address)) return null;
    asked.add(address);
    try {
      const reply = await read(address, Math.min(CALL_TIMEOUT_MS, leftMs));
      if (reply.type === 'read') return reply.configuration;
      return reply.leader === null ? null : await follow(reply.leader);
    } catch (error) {
      failures.push(`${address}: ${(error as Error).message}`);
      return null;
    }
  };
  const configuration =
    (await follow(first)) ?? (await findFirst(others.map(follow)));
  return {configuration, asked: [...asked], failures};
}

/** Resolves to the first value that is not `null`; to `null` if there is none. */
function findFirst<T>(values: ReadonlyArray<Promise<T | null>>) {
  return new Promise<T | null>((resolve, reject) => {
    for (const value of values) {
      value.then(found => found !== null && resolve(found), reject);
    }
    Promise.all(values).then(() => resolve(null), reject);
  });
}
