/** The parts of a prompt that an engine may have cached, as a chain of prefixes. */
import {MAX_PART_ID_CHARACTERS} from '../../protocol/suspect.ts';
import type {CallFacts} from '../forwarding/call.ts';

/** A prefix of a prompt: one part and all parts before it. */
export interface ChainLink {
  /** Identifies the prefix for a model. */
  readonly key: string;
  /** The tokens of its last part. */
  readonly tokens: number;
  /** Whether other callers may send it; false for the part of a session. */
  readonly isShared: boolean;
}

/** The longest chain; engines are compared by its first links. */
const MAX_LINKS = 8;

/**
 * Lists the prefixes of a prompt that another request may begin with, shortest
 * first. The last part is one of them only if it belongs to a session.
 */
export function listChain(
  {prompt, session}: Pick<CallFacts, 'prompt' | 'session'>,
  model: string | null,
): ChainLink[] {
  const last = prompt.length - 1;
  const parts = session === null ? prompt.slice(0, -1) : prompt;
  const links: ChainLink[] = [];
  let key = `${model}`;
  for (const [index, {id, tokens}] of parts.slice(0, MAX_LINKS).entries()) {
    key += `\n${id.slice(0, MAX_PART_ID_CHARACTERS)}`;
    links.push({key, tokens, isShared: index < last});
  }
  return links;
}
