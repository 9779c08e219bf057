/**
 * Forms a new group by a majority of its founders.
 *
 * The founders agree on one list of first voters as in single-decree Paxos: a
 * proposer opens a ballot with a majority, takes over the latest vote that it finds
 * there, and its proposal is chosen once a majority has voted for it. A founder
 * that does not answer in time is left out; the group then takes it, or the host
 * in its place, as it takes any new host. It fails, and waits, while a majority of
 * the founders does not answer.
 */
import type {FoundingReply, FoundingRequest} from '../../protocol/founding.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {
  Membership,
  ReplicaDescription,
} from '../../protocol/replication.ts';
import type {FormationOptions} from './formation.ts';
import {findLatestVote, type Founder} from './founder.ts';
import {HostProbes} from './host_probes.ts';
import {
  chooseVoters,
  countMajority,
  includesMember,
  rankHosts,
  type ReplicaHost,
} from './member.ts';
import {notifyVoters} from './notify_voters.ts';

/** Interval between looks at who answers, and once too few did for long. */
const CHECK_INTERVAL_MS = 50;
const LATE_CHECK_INTERVAL_MS = 500;

/** The time between the first proposals of two founders. */
const TURN_MS = 500;

/** How long a founder waits for the others before it proposes without them. */
const WAIT_FOR_ALL_MS = 1_000;

/**
 * How long it waits for hosts that take the places of those. A group of two voters
 * bears no loss.
 */
const WAIT_FOR_OTHERS_MS = 3_000;

/** Timeout for the vote of one founder. */
const VOTE_TIMEOUT_MS = 1_000;

/** The mean pause after the first ballot that was not won; it doubles each time. */
const PAUSE_MS = 200;
const MAX_PAUSE_DOUBLINGS = 3;

export interface FoundingOptions extends FormationOptions {
  readonly founder: Founder;
}

/** Resolves once the group is formed, and its voters know it. */
export async function foundGroup(options: FoundingOptions): Promise<void> {
  const {clock, signal, founder, self} = options;
  const probes = new HostProbes(options);
  const turnMs = founder.founders.indexOf(self.name) * TURN_MS;
  const startedAt = clock.monotonic() + turnMs;
  const log = createFoundingLog(options);
  const ballots = new BallotRounds(founder);
  while (!signal.aborted && !options.getMembership()) {
    const hosts = listCandidates(options);
    probes.refresh(hosts.filter(({name}) => name !== self.name));
    const answers = probes.list();
    const waitedMs = clock.monotonic() - startedAt;
    const plan = planFounding(options, {hosts, answers, waitedMs});
    if (plan.type === 'wait') {
      if (waitedMs > WAIT_FOR_ALL_MS) log('founders do not answer', plan);
      const isLate = waitedMs > 2 * WAIT_FOR_OTHERS_MS;
      await clock.sleep(
        isLate ? LATE_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS,
        signal,
      );
      continue;
    }
    const outcome = await runBallot(options, {plan, ballots});
    const joined = outcome.ok
      ? await joinGroup(options, outcome.value)
      : outcome;
    if (joined.ok) return;
    log(joined.error, plan);
    await clock.sleep(ballots.drawPauseMs(options.random), signal);
  }
}

/** Creates a function that logs why there is no group yet, once for each reason. */
function createFoundingLog({logger, group}: FoundingOptions) {
  let last = '';
  return (reason: string, {silent}: FoundingPlan) => {
    const current = [reason, ...silent].join();
    if (current === last) return;
    last = current;
    logger.warn('Cannot form the group yet.', {group, reason, silent});
  };
}

/** The rounds of the ballots that this founder opens, and the pauses after them. */
class BallotRounds {
  private seen = 0;
  private opened = 0;

  constructor(private readonly founder: Founder) {}

  /** Records a round that another founder has granted. */
  observe(round: number): void {
    this.seen = Math.max(this.seen, round);
  }

  /** Returns a round that is later than all that are known. */
  begin(): number {
    this.opened++;
    return Math.max(this.founder.promised?.round ?? 0, this.seen) + 1;
  }

  /** Draws the pause after a ballot that was not won; it grows with each. */
  drawPauseMs(random: () => number): number {
    const doublings = Math.min(this.opened - 1, MAX_PAUSE_DOUBLINGS);
    return PAUSE_MS * 2 ** doublings * (0.5 + random());
  }
}

/** Lists the founders and all other hosts that may run replicas. */
function listCandidates({founder, listHosts}: FoundingOptions): ReplicaHost[] {
  const listed = listHosts();
  const founders = founder.founders.map(
    name =>
      listed.find(host => host.name === name) ?? {
        name,
        region: '',
        dataCentre: name,
      },
  );
  const names = new Set(founder.founders);
  return [...founders, ...listed.filter(({name}) => !names.has(name))];
}

type FoundingPlan =
  | {readonly type: 'wait'; readonly silent: readonly string[]}
  | {
      readonly type: 'propose';
      /** `null` if a group may exist, whose first voters are to be learnt. */
      readonly membership: Membership | null;
      readonly silent: readonly string[];
    };

interface FoundingView {
  /** The founders, then the other hosts. */
  readonly hosts: readonly ReplicaHost[];
  /** The descriptions from the other hosts that replied, by name. */
  readonly answers: ReadonlyMap<string, ReplicaDescription>;
  /** How long this founder has waited since its turn came. */
  readonly waitedMs: number;
}

/**
 * Proposes as many voters as there are founders: these, or other hosts in the place
 * of founders that do not answer.
 */
function planFounding(
  {self, founder, voterCount}: FoundingOptions,
  {hosts, answers, waitedMs}: FoundingView,
): FoundingPlan {
  const {founders} = founder;
  const hasAnswered = ({name}: ReplicaHost) =>
    name === self.name || answers.has(name);
  const present = hosts.slice(0, founders.length).filter(hasAnswered);
  const silent = founders.filter(
    name => !present.some(host => host.name === name),
  );
  const isFormed = [...answers.values()].some(({formed}) => formed);
  const hasMajority = present.length >= countMajority(founders);
  if (waitedMs < 0 || !hasMajority) return {type: 'wait', silent};
  if (isFormed) return {type: 'propose', membership: null, silent};
  if (silent.length > 0 && waitedMs < WAIT_FOR_ALL_MS) {
    return {type: 'wait', silent};
  }
  const others = hosts.slice(founders.length).filter(hasAnswered);
  const count = Math.min(founders.length, voterCount);
  const chosen = chooseVoters(present, count);
  while (chosen.length < count) {
    const [next] = rankHosts(others, chosen);
    if (!next) break;
    chosen.push(next);
  }
  if (chosen.length < count && waitedMs < WAIT_FOR_OTHERS_MS) {
    return {type: 'wait', silent};
  }
  const voters = chosen.map(({name}) => ({
    name,
    incarnation: answers.get(name)?.incarnation ?? self.incarnation,
  }));
  return {type: 'propose', membership: {voters}, silent};
}

interface BallotParts {
  readonly plan: Extract<FoundingPlan, {type: 'propose'}>;
  readonly ballots: BallotRounds;
}

/** Returns the first voters that the founders have chosen, or why they have not. */
async function runBallot(
  options: FoundingOptions,
  {plan, ballots}: BallotParts,
): Promise<Outcome<Membership, string>> {
  const {group, founder, self, logger} = options;
  const {founders} = founder;
  const {silent} = plan;
  const round = ballots.begin();
  const ballot = {round, proposer: self.name};
  const ask = (request: FoundingRequest) =>
    collectGrants(options, {request, ballots});
  const opened = await ask({group, founders, ballot});
  if (!opened) return fail('no majority of the founders opened a ballot');
  const vote = findLatestVote(opened);
  const membership = vote?.membership ?? plan.membership;
  if (!membership) return fail('a host belongs to a group that none voted for');
  const voters = membership.voters.map(({name}) => name);
  const isTakenOver = vote !== null;
  const fields = {group, round, voters, isTakenOver, silent};
  logger.info('Proposes the first voters.', fields);
  const granted = await ask({group, founders, ballot, membership});
  if (!granted) return fail('no majority of the founders voted');
  return succeed(membership);
}

interface GrantParts {
  readonly request: FoundingRequest;
  readonly ballots: BallotRounds;
}

/**
 * Asks all founders, this one first, so that it uses no ballot twice. Returns the
 * replies that grant the request once they are a majority; `null` if they are not.
 */
async function collectGrants(
  options: FoundingOptions,
  {request, ballots}: GrantParts,
): Promise<FoundingReply[] | null> {
  const {founder, self} = options;
  const majority = countMajority(founder.founders);
  const granted: FoundingReply[] = [];
  const ask = async (name: string) => {
    const reply = await askForVote(options, name, request);
    if (reply?.granted) granted.push(reply);
    if (reply?.promised) ballots.observe(reply.promised.round);
  };
  await ask(self.name);
  if (granted.length === 0) return null;
  if (granted.length >= majority) return granted;
  const others = founder.founders.filter(name => name !== self.name);
  return new Promise(resolve => {
    const tasks = others.map(async name => {
      await ask(name);
      if (granted.length === majority) resolve([...granted]);
    });
    void Promise.all(tasks).then(() => resolve(null));
  });
}

/** Asks a founder, possibly this one, for its vote; `null` without an answer. */
async function askForVote(
  {founder, group, logger}: FoundingOptions,
  name: string,
  request: FoundingRequest,
): Promise<FoundingReply | null> {
  try {
    return await founder.ask(name, request, VOTE_TIMEOUT_MS);
  } catch (error) {
    const reason = (error as Error).message;
    logger.debug('Got no vote of a founder.', {group, name, reason});
    return null;
  }
}

/**
 * Joins the group that was chosen, if this host is in it, or tells its voters.
 * Fails if the disk cannot be written.
 */
async function joinGroup(
  options: FoundingOptions,
  membership: Membership,
): Promise<Outcome<null, string>> {
  const {self, logger, group} = options;
  if (!includesMember(membership, self)) {
    const voters = membership.voters.map(({name}) => name);
    logger.info('Waits for the new group to take it.', {group, voters});
    await notifyVoters(options, membership);
    return succeed(null);
  }
  try {
    await options.form(membership);
    return succeed(null);
  } catch (error) {
    return fail(`could not join the group: ${(error as Error).message}`);
  }
}
