/**
 * Validates messages of other processes and files.
 *
 * One invalid entry of a list must not cost the others. Lists that are created
 * with `createEntryList()` are therefore validated entry by entry: an invalid
 * entry is dropped and named in the result. Any other error fails the message.
 *
 * @example
 * const schema = z.object({endpoints: createEntryList(endpointSchema)});
 * const parsed = parseMessage(schema, JSON.parse(text));
 */
import * as z from 'zod';
import {fail, succeed, type Outcome} from './outcome.ts';

/** Issues that are named in a reason; a large message may have millions. */
const MAX_NAMED_ISSUES = 3;

/** The longest text of an issue; a path may contain keys of the sender. */
const MAX_ISSUE_CHARACTERS = 160;

/** Passes over one message: errors that checks find show only after a pass. */
const MAX_PASSES = 3;

/**
 * The most values of a message. An error takes a hundred times the bytes of the
 * value that it is about.
 */
export const MAX_VALUES = 500_000;

/** Entries that are named in a result. */
const MAX_NAMED_ENTRIES = 8;

/** The reason for refusing a message with more values. */
export const TOO_MANY_VALUES = 'too many values';

const entryLists = new WeakSet<z.core.$ZodType>();

/** An entry that was dropped. */
export interface DroppedEntry {
  /** Where it was, such as `gateways.*.report.limits.*`. */
  readonly list: string;
  readonly reason: string;
}

export interface ParsedMessage<T> {
  readonly value: T;
  readonly droppedCount: number;
  /** The first of the dropped entries. */
  readonly dropped: readonly DroppedEntry[];
}

/** Creates the schema of a list whose invalid entries are dropped. */
export function createEntryList<T extends z.ZodType>(entry: T): z.ZodArray<T> {
  const list = z.array(entry);
  entryLists.add(list);
  return list;
}

/**
 * Validates a message; fails with the reason if more than entries is invalid.
 *
 * @param input Invalid entries are removed from it.
 */
export function parseMessage<T>(
  schema: z.ZodType<T>,
  input: unknown,
): Outcome<ParsedMessage<T>, string> {
  if (hasTooManyValues(input)) return fail(TOO_MANY_VALUES);
  const dropped: DroppedEntry[] = [];
  let droppedCount = 0;
  for (let pass = 0; pass < MAX_PASSES; pass++) {
    const parsed = schema.safeParse(input);
    if (parsed.success) {
      return succeed({value: parsed.data, droppedCount, dropped});
    }
    const invalid = new Map<unknown[], Set<PropertyKey>>();
    for (const issue of parsed.error.issues) {
      const path = findEntry(schema, issue.path);
      if (path === null) return fail(formatIssues(parsed.error));
      const index = path.at(-1) ?? 0;
      const list = resolveList(input, path.slice(0, -1));
      const indexes = invalid.get(list) ?? new Set();
      invalid.set(list, indexes);
      if (indexes.has(index)) continue;
      indexes.add(index);
      droppedCount++;
      if (dropped.length >= MAX_NAMED_ENTRIES) continue;
      dropped.push({list: formatPath(path), reason: formatIssue(issue)});
    }
    for (const [list, indexes] of invalid) removeIndexes(list, indexes);
  }
  return fail('the entries of a list are invalid');
}

/** Whether validating a value could take too much memory. */
function hasTooManyValues(input: unknown): boolean {
  const open: unknown[] = [input];
  let count = 0;
  while (open.length > 0) {
    const value = open.pop();
    if (typeof value !== 'object' || value === null) continue;
    const children: unknown[] = Object.values(value);
    count += children.length;
    if (count > MAX_VALUES) return true;
    for (const child of children) open.push(child);
  }
  return false;
}

/** Formats the first issues on one line. */
export function formatIssues({issues}: z.core.$ZodError): string {
  const named = issues.slice(0, MAX_NAMED_ISSUES).map(formatIssue);
  return formatNamed(named, issues.length);
}

/** Formats the first reasons on one line, each shortened. */
export function formatReasons(reasons: readonly string[]): string {
  const named = reasons.slice(0, MAX_NAMED_ISSUES).map(formatReason);
  return formatNamed(named, reasons.length);
}

function formatNamed(named: readonly string[], count: number): string {
  const others = count - named.length;
  return others > 0 ? `${named.join('; ')}; ${others} more` : named.join('; ');
}

function formatIssue({path, message}: z.core.$ZodIssue): string {
  return formatReason(
    path.length > 0 ? `${formatPath(path)}: ${message}` : message,
  );
}

function formatReason(reason: string): string {
  return reason.slice(0, MAX_ISSUE_CHARACTERS);
}

/** Formats a path without indexes, so that repeated errors look the same. */
function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map(key => (typeof key === 'number' ? '*' : String(key)))
    .join('.');
}

/** Returns the path of the innermost entry that an issue belongs to. */
function findEntry(
  schema: z.core.$ZodType,
  path: readonly PropertyKey[],
): readonly PropertyKey[] | null {
  let entry: readonly PropertyKey[] | null = null;
  let current: z.core.$ZodType | undefined = schema;
  for (const [depth, key] of path.entries()) {
    while (
      current instanceof z.ZodDefault ||
      current instanceof z.ZodOptional ||
      current instanceof z.ZodNullable
    ) {
      current = current.unwrap();
    }
    if (current instanceof z.ZodArray) {
      if (entryLists.has(current)) entry = path.slice(0, depth + 1);
      current = current.element;
    } else if (current instanceof z.ZodObject) {
      current = (current.shape as z.core.$ZodShape)[String(key)];
    } else break;
  }
  return entry;
}

function resolveList(input: unknown, path: readonly PropertyKey[]): unknown[] {
  let value = input;
  for (const key of path) value = (value as Record<PropertyKey, unknown>)[key];
  return value as unknown[];
}

function removeIndexes(list: unknown[], indexes: ReadonlySet<PropertyKey>) {
  const kept = list.filter((_entry, index) => !indexes.has(index));
  list.length = kept.length;
  kept.forEach((entry, index) => (list[index] = entry));
}
