/**
 * The result of an operation that may fail in an expected way.
 *
 * Expected failures are values of this type; only violated invariants throw.
 *
 * @example
 * const parsed = parseSettings(text, 'settings.toml');
 * if (!parsed.ok) return parsed;
 */

/** Either a value or a typed error. */
export type Outcome<T, E> = Success<T> | Failure<E>;

/** The successful half of an {@link Outcome}. */
export interface Success<T> {
  readonly ok: true;
  readonly value: T;
}

/** The failed half of an {@link Outcome}. */
export interface Failure<E> {
  readonly ok: false;
  readonly error: E;
}

export function succeed<T>(value: T): Success<T> {
  return {ok: true, value};
}

export function fail<E>(error: E): Failure<E> {
  return {ok: false, error};
}
