/** Recent revisions of a JSON document, and patches to the newest one. */
import jsonPatch, {type Operation} from 'fast-json-patch';
import type {DocumentUpdate} from '../../protocol/control.ts';

/**
 * How many revisions are kept. A reader of an evicted revision is sent the
 * whole document.
 */
const KEPT_REVISIONS = 32;

/**
 * Keeps recent revisions, so that a reader of an older revision can be sent a
 * patch instead of the whole document.
 */
export class DocumentHistory<T> {
  private readonly documents = new Map<number | string, T>();
  /** Cached patches to the newest revision, by the revision they apply to. */
  private readonly patches = new Map<number | string, Operation[]>();
  private newest: {revision: number | string; document: T} | null = null;

  /** The newest document; `null` before the first is recorded. */
  get current(): T | null {
    return this.newest?.document ?? null;
  }

  /** Whether a revision was recorded and is kept. */
  has(revision: number | string): boolean {
    return this.documents.has(revision);
  }

  /** Records a new revision. Has no effect if it is already the newest. */
  record(revision: number | string, document: T): void {
    if (this.newest?.revision === revision) return;
    // Copies the document as receivers parse it: JSON drops keys whose value is
    // undefined, and a patch must start from what the receiver holds.
    const copy = JSON.parse(JSON.stringify(document)) as T;
    this.documents.set(revision, copy);
    this.patches.clear();
    this.newest = {revision, document: copy};
    const oldest = this.documents.keys().next().value;
    if (this.documents.size > KEPT_REVISIONS && oldest !== undefined) {
      this.documents.delete(oldest);
    }
  }

  /**
   * Returns the update from revision `from` to the newest one, or undefined if
   * `from` is the newest.
   */
  describeUpdate(from: number | string): DocumentUpdate<T> | undefined {
    if (!this.newest || from === this.newest.revision) return undefined;
    const known = this.documents.get(from);
    if (known === undefined) {
      return {type: 'whole', document: this.newest.document};
    }
    let operations = this.patches.get(from);
    if (!operations) {
      operations = jsonPatch.compare(
        known as object,
        this.newest.document as object,
      );
      this.patches.set(from, operations);
    }
    return {type: 'patch', from, operations};
  }
}

/**
 * Applies an update to `known`, which is not modified. Returns `null` if the
 * update is a patch to another revision.
 */
export function applyUpdate<T>(
  known: T | null,
  knownRevision: number | string,
  update: DocumentUpdate<T>,
): T | null {
  if (update.type === 'whole') return update.document;
  if (known === null || update.from !== knownRevision) return null;
  const operations = update.operations as Operation[];
  return jsonPatch.applyPatch(known, operations, false, false).newDocument;
}
