/** Creates loggers that write text or JSON lines through consola. */
import {createConsola, LogLevels, type LogObject} from 'consola/core';
import {LineWriter} from './line_writer.ts';
import type {CreateLogger, LogFields} from '../../protocol/logger.ts';

export interface CreateLoggerOptions {
  readonly level?: 'error' | 'warn' | 'info' | 'debug';
  readonly format?: 'text' | 'json';
  /** Writes one formatted line; takes precedence over `stream`. */
  readonly write?: (line: string) => void;
  /** The stream that lines are written to; standard error by default. */
  readonly stream?: {readonly fd: number};
}

/** Creates the logger factory of a process. */
export function createLoggerFactory(
  options: CreateLoggerOptions = {},
): CreateLogger {
  const {level = 'info', format = 'text'} = options;
  const write =
    options.write ?? createStreamWriter(options.stream ?? process.stderr);
  const formatLine = format === 'json' ? formatJson : formatText;
  const root = createConsola({
    level: LogLevels[level],
    throttle: 0,
    reporters: [{log: object => write(formatLine(object))}],
  });
  return prefix => {
    const tagged = root.withTag(prefix);
    return {
      error: (message, fields) => tagged.error(message, fields ?? {}),
      warn: (message, fields) => tagged.warn(message, fields ?? {}),
      info: (message, fields) => tagged.info(message, fields ?? {}),
      debug: (message, fields) => tagged.debug(message, fields ?? {}),
    };
  };
}

function createStreamWriter({fd}: {readonly fd: number}) {
  const writer = new LineWriter({fd});
  process.once('exit', () => writer.flush());
  return (line: string) => writer.add(line);
}

function readFields(object: LogObject): LogFields {
  return (object.args[1] ?? {}) as LogFields;
}

function formatJson(object: LogObject): string {
  const line: Record<string, unknown> = {
    time: object.date.toISOString(),
    level: object.type,
    part: object.tag,
    message: object.args[0],
  };
  for (const [key, value] of Object.entries(readFields(object))) {
    // A field must not replace what tells the level and origin of a line.
    line[key in line ? `${key}_` : key] = value;
  }
  return JSON.stringify(line);
}

function formatText(object: LogObject): string {
  const fields = Object.entries(readFields(object))
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  const head = `${object.date.toISOString()} ${object.type} ${object.tag}:`;
  return [head, object.args[0], ...fields].join(' ');
}

function formatValue(value: unknown): string {
  if (typeof value === 'string' && !/[\s"]/.test(value)) return value;
  return JSON.stringify(value) ?? String(value);
}
