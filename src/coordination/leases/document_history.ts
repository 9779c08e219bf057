/** The latest revisions of a JSON document, and the patches between them. */
import jsonPatch, {type Operation} from 'fast-json-patch';
import type {DocumentUpdate} from '../../protocol/control.ts';

/** How many revisions are kept; an older one costs the whole document. */
const KEPT_REVISIONS = 32;

/** Remembers revisions so that a reader of an older one gets a patch. */
export class DocumentHistory<T> {
  private readonly documents = new Map<number | string, T>();
  /** Patches to the newest revision by the revision they start from. */
  private readonly patches = new Map<number | string, Operation[]>();
  private newest: {revision: number | string; document: T} | null = null;

  /** The newest document, `null` before the first. */
  get current(): T | null {
    return this.newest?.document ?? null;
  }

  /** Takes in a new revision; the known one again changes nothing. */
  record(revision: number | string, document: T): void {
    if (this.newest?.revision === revision) return;
    // A copy as it will be read: without keys that have no value.
    const copy = JSON.parse(JSON.stringify(document)) as T;
    this.documents.set(revision, copy);
    this.patches.clear();
    this.newest = {revision, document: copy};
    const oldest = this.documents.keys().next().value;
    if (this.documents.size > KEPT_REVISIONS && oldest !== undefined) {
      this.documents.delete(oldest);
    }
  }

  /** What brings a reader of `from` up to date; undefined when it is. */
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
 * Applies an update to what is known. Returns `null` when the update starts
 * from another revision; `known` itself is never changed.
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
