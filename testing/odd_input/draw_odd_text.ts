/**
 * Draws odd variants of JSON messages: values of other types, numbers that are not
 * read exactly, deep nesting, missing and repeated keys, cut texts.
 */

/** Returns a number from 0 up to 1. */
export type Random = () => number;

const NESTING_DEPTH = 100_000;

/** JSON texts that take the place of a number. */
const ODD_NUMBERS: readonly string[] = [
  '0',
  '-1',
  '0.5',
  '1e-400',
  '1e308',
  '-1e308',
  '1e400',
  '-1e400',
  '4294967296',
  '9007199254740991',
  '9007199254740993',
  '-9007199254740991',
];

/** JSON texts that take the place of any value. */
const ODD_VALUES: readonly string[] = [
  ...ODD_NUMBERS,
  'null',
  'true',
  '""',
  '"x"',
  '"gone"',
  '"NaN"',
  '"1e400"',
  '"__proto__"',
  '"\\u0000\\r\\n"',
  '"\\ud800"',
  '"é"',
  '"10.0.0.9:0"',
  '"10.0.0.9:65536"',
  '"10.0.0.9:99999"',
  '"0.0.0.0:80"',
  '"[::1]:80"',
  '"host.example:80"',
  `"${'1'.repeat(5_000)}:80"`,
  '[]',
  '{}',
  '[null]',
  '{"__proto__":null}',
  '[[[[[[]]]]]]',
  '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH),
];

const ODD_KEYS = ['__proto__', 'constructor', 'toString', 'unknown', ''];

/** The part of odd numbers among those that replace a number. */
const NUMBER_PART = 0.8;

/** The part of the variants with a single change. */
const SINGLE_PART = 0.6;

/** The part of the variants that are damaged as text. */
const DAMAGED_PART = 0.1;

const MAX_CHANGES = 3;

type Container = Record<string, unknown> | unknown[];

/** Draws the text of an odd variant of a message, which is not changed. */
export function drawOddText(message: unknown, random: Random): string {
  const values: string[] = [];
  // Takes the place of a text that JSON.stringify() cannot write.
  const drawOddValue = (value?: unknown) => {
    const isNumber = typeof value === 'number' && random() < NUMBER_PART;
    values.push(pick(isNumber ? ODD_NUMBERS : ODD_VALUES, random));
    return `@odd${values.length - 1}@`;
  };
  const root = {message: structuredClone(message)};
  const isSingle = random() < SINGLE_PART;
  const changes = isSingle ? 1 : 1 + Math.floor(random() * MAX_CHANGES);
  for (let change = 0; change < changes; change++) {
    applyChange(root, {random, drawOddValue});
  }
  const text = (JSON.stringify(root.message) ?? '').replace(
    /"@odd(\d+)@"(?=(:?))/g,
    (_match, index: string, colon: string) =>
      colon === '' ? (values[Number(index)] ?? '') : '"odd"',
  );
  return random() < DAMAGED_PART ? drawDamagedText(text, random) : text;
}

function applyChange(
  root: Container,
  {
    random,
    drawOddValue,
  }: {random: Random; drawOddValue: (value?: unknown) => string},
): void {
  const places = [...listPlaces(root)];
  if (places.length === 0) return;
  const [container, key] = pick(places, random);
  const kind = random();
  if (Array.isArray(container)) {
    const index = Number(key);
    if (kind < 0.4) container.splice(index, 0, drawOddValue());
    else if (kind < 0.5) container.splice(index, 1);
    else if (kind < 0.6) container.push(structuredClone(container[index]));
    else container[index] = drawOddValue(container[index]);
    return;
  }
  if (kind < 0.15) delete container[key];
  else if (kind < 0.3) {
    Object.defineProperty(container, pick(ODD_KEYS, random), {
      value: drawOddValue(),
      enumerable: true,
      configurable: true,
      writable: true,
    });
  } else container[key] = drawOddValue(container[key]);
}

/** Lists all keys and indexes with their objects and arrays. */
function* listPlaces(container: Container): Generator<[Container, string]> {
  for (const key of Object.keys(container)) {
    yield [container, key];
    const value = Reflect.get(container, key) as unknown;
    if (typeof value === 'object' && value !== null) {
      yield* listPlaces(value as Container);
    }
  }
}

/** Cuts the text, changes a character, or repeats a part of it. */
function drawDamagedText(text: string, random: Random): string {
  const at = Math.floor(random() * text.length);
  const kind = random();
  if (kind < 0.4) return text.slice(0, at);
  if (kind < 0.7) return text.slice(0, at) + '\u0000' + text.slice(at + 1);
  const end = at + Math.floor(random() * 40);
  return text.slice(0, end) + text.slice(at);
}

function pick<T>(list: readonly T[], random: Random): T {
  return list[Math.floor(random() * list.length)] as T;
}
