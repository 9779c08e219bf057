/** Seeded workloads of two users, at their present size. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  declarationSchema,
  type Declaration,
} from '../../src/protocol/declaration.ts';

/** A user's data centres and request classes. */
export interface Profile {
  readonly name: 'plovdiv' | 'tamar';
  readonly dataCentres: ReadonlyArray<{name: string; region: string}>;
  readonly classes: ReadonlyArray<{
    readonly name: string;
    /** Share of all requests. */
    readonly share: number;
    readonly streamed: boolean;
    /** Share of requests that belong to a session. */
    readonly sessions: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    /** Required mean quality, from 0 to 1. */
    readonly target: number;
    /** How much the hardest request lowers the quality, by version. */
    readonly difficultyPenalty: Readonly<Record<string, number>>;
  }>;
}

export const PROFILES: readonly Profile[] = [
  {
    name: 'plovdiv',
    dataCentres: [
      {name: 'plovdiv-a', region: 'plovdiv'},
      {name: 'plovdiv-b', region: 'plovdiv'},
      {name: 'sofia-a', region: 'sofia'},
    ],
    classes: [
      {
        ...{name: 'letter', share: 0.5, streamed: false, sessions: 0.2},
        ...{promptTokens: 700, answerTokens: 160, target: 0.8},
        difficultyPenalty: {small: 0.5, middle: 0.25, large: 0.08},
      },
      {
        ...{name: 'thread', share: 0.3, streamed: false, sessions: 0},
        ...{promptTokens: 3_000, answerTokens: 120, target: 0.78},
        difficultyPenalty: {small: 0.4, middle: 0.22, large: 0.08},
      },
      {
        ...{name: 'notice', share: 0.2, streamed: true, sessions: 0},
        ...{promptTokens: 250, answerTokens: 80, target: 0.82},
        difficultyPenalty: {small: 0.1, middle: 0.08, large: 0.04},
      },
    ],
  },
  {
    name: 'tamar',
    dataCentres: [
      {name: 'launceston', region: 'north'},
      {name: 'devonport', region: 'north'},
      {name: 'hobart', region: 'south'},
    ],
    classes: [
      {
        ...{name: 'chat', share: 0.6, streamed: true, sessions: 0.8},
        ...{promptTokens: 600, answerTokens: 80, target: 0.78},
        difficultyPenalty: {small: 0.2, middle: 0.12, large: 0.06},
      },
      {
        ...{name: 'quote', share: 0.25, streamed: false, sessions: 0},
        ...{promptTokens: 2_500, answerTokens: 150, target: 0.8},
        difficultyPenalty: {small: 0.45, middle: 0.22, large: 0.08},
      },
      {
        ...{name: 'brief', share: 0.15, streamed: true, sessions: 0},
        ...{promptTokens: 500, answerTokens: 120, target: 0.78},
        difficultyPenalty: {small: 0.35, middle: 0.15, large: 0.07},
      },
    ],
  },
];

/** Price, speed and quality on easy requests of each version. */
export const VERSIONS: Readonly<
  Record<
    string,
    {price: number; prefillMs: number; gapMs: number; baseQuality: number}
  >
> = {
  small: {price: 10, prefillMs: 0.05, gapMs: 8, baseQuality: 0.92},
  middle: {price: 35, prefillMs: 0.09, gapMs: 14, baseQuality: 0.94},
  next: {price: 35, prefillMs: 0.09, gapMs: 14, baseQuality: 0.94},
  large: {price: 100, prefillMs: 0.16, gapMs: 24, baseQuality: 0.95},
};

/** The expected quality that the declaration gives for each version. */
const EXPECTED_QUALITY: Readonly<Record<string, number>> = {
  small: 0.74,
  middle: 0.83,
  next: 0.83,
  large: 0.9,
};

/** Share of requests by customer; the first two send most of them. */
export const CUSTOMER_SHARES = [
  0.35, 0.25, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03, 0.02,
];

/** One request of the workload. */
export interface WorkItem {
  readonly atMs: number;
  readonly id: string;
  readonly customer: number;
  readonly classIndex: number;
  readonly session?: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Difficulty from 0 to 1, hidden from all decisions. */
  readonly difficulty: number;
  /** Index of the gateway that the caller uses. */
  readonly gateway: number;
}

export interface WorkloadOptions {
  readonly profile: Profile;
  readonly seed: number;
  readonly durationMs: number;
  /** Requests per second. */
  readonly rate: number;
  readonly gateways: number;
}

/** Requests in one session. */
const SESSION_TURNS = 5;

/** Characters per token. */
const TOKEN_CHARACTERS = 4;

/** The longest generated prompt, in characters. */
const PROMPT_CHARACTERS = 4_096;

/** Creates a seeded generator of numbers from 0 up to 1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Creates the requests of one run, in order of arrival. */
export function createWorkload(options: WorkloadOptions): WorkItem[] {
  const {profile, durationMs, rate, gateways} = options;
  const random = createRandom(options.seed);
  const items: WorkItem[] = [];
  const openSessions = new Map<string, {name: string; turns: number}>();
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) / rate) * 1_000;
    if (atMs >= durationMs) return items;
    const customer = pick(CUSTOMER_SHARES, random());
    const classIndex = pick(
      profile.classes.map(each => each.share),
      random(),
    );
    const kind = profile.classes[classIndex]!;
    const id = `r${items.length}`;
    const key = `${customer}.${classIndex}.${Math.floor(random() * 3)}`;
    let session: {name: string; turns: number} | undefined;
    if (random() < kind.sessions) {
      session = openSessions.get(key);
      if (!session || session.turns >= SESSION_TURNS) {
        session = {name: `s${id}`, turns: 0};
        openSessions.set(key, session);
      }
      session.turns++;
    }
    const sizeFactor = 0.5 + random();
    const growthFactor = session ? 0.6 + session.turns * 0.2 : 1;
    const promptTokens = Math.ceil(
      kind.promptTokens * sizeFactor * growthFactor,
    );
    items.push({
      ...{atMs, id, customer, classIndex, promptTokens},
      session: session?.name,
      prompt: createPrompt(session?.name ?? id, customer, promptTokens),
      answerTokens: Math.ceil(kind.answerTokens * (0.5 + random())),
      difficulty: random(),
      gateway: Math.floor(random() * gateways),
    });
  }
}

/**
 * Creates a prompt whose prefix is shared by the customer's requests and then
 * by those of the session, so that prefix caches have hits.
 */
function createPrompt(
  context: string,
  customer: number,
  tokens: number,
): string {
  const length = Math.min(PROMPT_CHARACTERS, tokens * TOKEN_CHARACTERS);
  const customerPrefix = `customer ${customer} `.repeat(40).slice(0, 300);
  return customerPrefix + `${context} `.repeat(length / (context.length + 1));
}

function pick(shares: readonly number[], point: number): number {
  let sum = 0;
  for (const [index, share] of shares.entries()) {
    sum += share;
    if (point < sum) return index;
  }
  return shares.length - 1;
}

/** Creates the declaration of the profile's versions, customers and pools. */
export function createDeclaration(profile: Profile): Declaration {
  return declarationSchema.parse({
    version: 1,
    pools: [
      {name: 'draft', concurrency: 8, queue: 200},
      {name: 'filing', concurrency: 8, queue: 64},
    ],
    versions: Object.entries(VERSIONS).map(([name, {price}]) => ({
      ...{model: 'draft', name, pool: 'draft'},
      ...{prompt_price: price / 3, completion_price: price},
      expected_quality: EXPECTED_QUALITY[name],
    })),
    customers: CUSTOMER_SHARES.map((_, index) => ({
      name: `c${index}`,
      key_sha256: '0'.repeat(64),
      versions: ['draft/*'],
      explore: true,
      exposure: 'direct',
      targets: profile.classes.map(each => ({
        class: each.name,
        quality: each.target,
      })),
    })),
  });
}
