/** The logging interface. */

/** Structured values that accompany a message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes the log lines of one component, each with its prefix. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

/** Creates the logger of the component that `prefix` names. */
export type CreateLogger = (prefix: string) => Logger;

/** A logger that discards all messages. */
export const silentLogger: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
};
