/**
 * Parses TOML, validates it against a schema and reports errors by line.
 *
 * @example
 * const parsed = parseToml(text, settingsSchema);
 * if (!parsed.ok) parsed.error.forEach(issue => console.error(issue.message));
 */
import {getStaticTOMLValue, parseTOML, ParseError} from 'toml-eslint-parser';
import type {AST} from 'toml-eslint-parser';
import type {z} from 'zod';
import {fail, succeed, type Outcome} from './outcome.ts';

/** An error in a file. */
export interface TomlIssue {
  /** The line number, from 1. */
  readonly line: number;
  /** The key path, such as `customers.0.name`; empty for a syntax error. */
  readonly path: string;
  /** What was expected. */
  readonly message: string;
}

/** An error found by a check beyond the schema. */
export interface CheckIssue {
  readonly path: ReadonlyArray<string | number>;
  readonly message: string;
}

/**
 * Parses `text` and validates it against `schema`.
 *
 * @param check Returns further errors in a value that matches the schema.
 */
export function parseToml<T>(
  text: string,
  schema: z.ZodType<T>,
  check: (value: T) => readonly CheckIssue[] = () => [],
): Outcome<T, TomlIssue[]> {
  try {
    return parseDocument(text, schema, check);
  } catch (error) {
    // The parser's recursion exceeds the stack.
    if (error instanceof RangeError) {
      return fail([{line: 1, path: '', message: 'nested too deeply'}]);
    }
    if (!(error instanceof ParseError)) throw error;
    return fail([{line: error.lineNumber, path: '', message: error.message}]);
  }
}

function parseDocument<T>(
  text: string,
  schema: z.ZodType<T>,
  check: (value: T) => readonly CheckIssue[],
): Outcome<T, TomlIssue[]> {
  const program = parseTOML(text);
  const checked = schema.safeParse(getStaticTOMLValue(program));
  const found = checked.success ? check(checked.data) : checked.error.issues;
  if (checked.success && found.length === 0) return succeed(checked.data);
  const lines = collectLines(program);
  const issues = found.map(issue => ({
    line: findLine(lines, issue.path),
    path: issue.path.join('.'),
    message: issue.message,
  }));
  return fail(issues);
}

/** Formats an issue as `file:line: path: message`. */
export function formatIssue(file: string, issue: TomlIssue): string {
  const where = `${file}:${issue.line}`;
  return issue.path === ''
    ? `${where}: ${issue.message}`
    : `${where}: ${issue.path}: ${issue.message}`;
}

/** Maps each key path of the file to the line that defines it. */
function collectLines(program: AST.TOMLProgram): Map<string, number> {
  const lines = new Map<string, number>();
  for (const node of program.body[0].body) {
    if (node.type === 'TOMLTable') {
      lines.set(formatPath(node.resolvedKey), node.loc.start.line);
      for (const pair of node.body) {
        collectPair(pair, node.resolvedKey, lines);
      }
    } else {
      collectPair(node, [], lines);
    }
  }
  return lines;
}

function collectPair(
  pair: AST.TOMLKeyValue,
  parent: Array<string | number>,
  lines: Map<string, number>,
): void {
  const keys = pair.key.keys.map(key =>
    key.type === 'TOMLBare' ? key.name : key.value,
  );
  const path = [...parent, ...keys];
  lines.set(formatPath(path), pair.loc.start.line);
  collectValue(pair.value, path, lines);
}

function collectValue(
  value: AST.TOMLContentNode,
  path: Array<string | number>,
  lines: Map<string, number>,
): void {
  if (value.type === 'TOMLArray') {
    value.elements.forEach((element, index) => {
      const elementPath = [...path, index];
      lines.set(formatPath(elementPath), element.loc.start.line);
      collectValue(element, elementPath, lines);
    });
  }
  if (value.type === 'TOMLInlineTable') {
    for (const pair of value.body) collectPair(pair, path, lines);
  }
}

/** Returns the line of `path` or of its nearest defined ancestor. */
function findLine(
  lines: ReadonlyMap<string, number>,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length > 0; length--) {
    const line = lines.get(formatPath(path.slice(0, length)));
    if (line !== undefined) return line;
  }
  return 1;
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.map(String).join('.');
}
