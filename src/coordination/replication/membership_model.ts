/**
 * A model of a group whose voters change, for exhaustive exploration.
 *
 * It leaves out messages and time: a change is committed or not, a silence is
 * short or long. Whatever the rules leave open is a choice of its own, such as
 * which majority holds an acknowledged entry.
 */
import type {ReplicaDescription} from '../../protocol/replication.ts';
import {countMajority, formatMember} from './member.ts';
import {planMembership, type MembershipView} from './plan_membership.ts';

/** Silences that count only with a successor, and by themselves. */
const SILENCES_MS = [2_500, 10_000];

const REPLACE_AFTER_MS = 8_000;
const SUCCEEDED_AFTER_MS = 2_000;
const REACHABLE_MS = 1_000;

/** A disk, and the host that has it. */
export interface ModelMember {
  readonly name: string;
  readonly incarnation: string;
  /** A member that is down returns, unless its host or disk was replaced. */
  readonly isUp: boolean;
  readonly isReplaced: boolean;
  /** Whether it started with an empty disk a moment ago. */
  readonly isFresh: boolean;
  /** Whether it has not caught up since; it neither votes nor acknowledges. */
  readonly isEmpty: boolean;
  /** Whether it has synced the last acknowledged entry. */
  readonly isHolder: boolean;
}

/** One state of the group. Members are named by their disks. */
export interface ModelState {
  readonly members: ReadonlyMap<string, ModelMember>;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  readonly leader: string | null;
  /** How many losses are not over, that is, not yet repaired. */
  readonly openLosses: number;
  /** How many of them took a disk for good. */
  readonly openDiskLosses: number;
  /** Losses, and changes of voters, since no loss was open. */
  readonly losses: number;
  readonly changes: number;
  /** Numbers the disks and hosts that were added. */
  readonly added: number;
}

export interface ModelOptions {
  readonly voterCount: number;
  readonly spareCount: number;
  /**
   * How many losses may be open at the same time without an interruption, and
   * how many may take a disk for good.
   */
  readonly toleratedLosses: number;
}

/** Hosts that may be down beyond the tolerated losses, with their disks. */
const FURTHER_LOSSES = 1;

/** Changes of voters that one loss may cause. */
const MAX_CHANGES_PER_LOSS = 2;

/** A state that follows, and what leads to it. */
export interface Transition {
  readonly action: string;
  readonly state: ModelState;
}

/** Creates a healthy group in which all members hold everything. */
export function createModelState(
  names: readonly string[],
  voterCount: number,
): ModelState {
  const members = names.map(name => ({
    name,
    incarnation: `${name}0`,
    isUp: true,
    isReplaced: false,
    isFresh: false,
    isEmpty: false,
    isHolder: true,
  }));
  const ids = members.map(formatMember);
  return {
    members: new Map(members.map(each => [formatMember(each), each])),
    voters: ids.slice(0, voterCount),
    learners: [],
    leader: ids[0] ?? null,
    openLosses: 0,
    openDiskLosses: 0,
    losses: 0,
    changes: 0,
    added: 0,
  };
}

/** Formats a state; equal states have equal texts. */
export function formatState(state: ModelState): string {
  const members = [...state.members]
    .map(([id, {isUp, isReplaced, isFresh, isEmpty, isHolder}]) =>
      [id, isUp, isReplaced, isFresh, isEmpty, isHolder].join(),
    )
    .sort();
  const {leader, openLosses, openDiskLosses, losses, changes} = state;
  return [
    members.join(';'),
    [...state.voters].sort().join(),
    [...state.learners].sort().join(),
    leader,
    openLosses,
    openDiskLosses,
    losses,
    changes,
  ].join('|');
}

/** Lists all states that may follow. */
export function listTransitions(
  state: ModelState,
  options: ModelOptions,
): Transition[] {
  return [
    ...listLosses(state, options),
    ...listReturns(state, options),
    ...listElections(state),
    ...listCommits(state),
    ...listCatchUps(state),
    ...listRepairs(state, options),
    ...listSettlements(state, options),
  ];
}

/** Returns the invariants that a state violates. */
export function checkState(
  state: ModelState,
  {toleratedLosses}: ModelOptions,
): string[] {
  const {voters, openLosses, openDiskLosses} = state;
  const violations: string[] = [];
  if (state.changes > MAX_CHANGES_PER_LOSS * state.losses) {
    violations.push(`${state.losses} losses cause ${state.changes} changes`);
  }
  const majority = countMajority(voters);
  const members = voters.map(id => ({id, ...getMember(state, id)}));
  const usable = members.filter(({isEmpty}) => !isEmpty);
  const up = usable.filter(({isUp}) => isUp);
  for (const lost of listLosable(up, toleratedLosses - openLosses)) {
    if (up.length - lost.length >= majority) continue;
    violations.push(`no majority answers after the loss of ${lost.join()}`);
  }
  const intact = usable.filter(({isReplaced}) => !isReplaced);
  for (const lost of listLosable(intact, toleratedLosses - openDiskLosses)) {
    const left = intact.filter(({id}) => !lost.includes(id));
    if (left.length < majority || !left.some(({isHolder}) => isHolder)) {
      violations.push(`the loss of the disks ${lost.join()} is not borne`);
    }
  }
  return violations;
}

/** Whether a majority before a change shares a voter with any after it. */
export function haveCommonVoter(
  before: readonly string[],
  after: readonly string[],
): boolean {
  const common = before.filter(id => after.includes(id)).length;
  const all = before.length + after.length - common;
  return countMajority(before) + countMajority(after) > all;
}

/** Lists the losses of `count` members; none below zero. */
function listLosable(
  members: ReadonlyArray<{readonly id: string}>,
  count: number,
): string[][] {
  if (count < 0) return [];
  return listSubsets(
    members.map(({id}) => id),
    count,
  );
}

function getMember(state: ModelState, id: string): ModelMember {
  const member = state.members.get(id);
  if (!member) throw new Error(`Could not find the member "${id}"`);
  return member;
}

function updateMembers(
  state: ModelState,
  ids: readonly string[],
  change: Partial<ModelMember>,
): ModelState {
  const members = new Map(state.members);
  for (const id of ids) members.set(id, {...getMember(state, id), ...change});
  return {...state, members};
}

function listUp(state: ModelState): string[] {
  return [...state.members].filter(([, {isUp}]) => isUp).map(([id]) => id);
}

function listLosses(state: ModelState, options: ModelOptions): Transition[] {
  if (state.openLosses >= options.toleratedLosses + FURTHER_LOSSES) return [];
  return listUp(state).map(id => ({
    action: `${id} is lost`,
    state: {
      ...updateMembers(state, [id], {isUp: false}),
      leader: state.leader === id ? null : state.leader,
      learners: state.learners.filter(each => each !== id),
      openLosses: state.openLosses + 1,
      losses: state.losses + 1,
    },
  }));
}

/** A lost member returns with its disk or without, or has a successor. */
function listReturns(state: ModelState, options: ModelOptions): Transition[] {
  const added = state.added + 1;
  const openDiskLosses = state.openDiskLosses + 1;
  const addMember = (lost: string, name: string): ModelState => {
    const replaced = updateMembers(state, [lost], {isReplaced: true});
    const member = {
      name,
      incarnation: `${name}${added}`,
      isUp: true,
      isReplaced: false,
      isFresh: true,
      isEmpty: true,
      isHolder: false,
    };
    const members = new Map(replaced.members);
    members.set(formatMember(member), member);
    return dropUnlisted({...state, members, added, openDiskLosses});
  };
  return listWaiting(state).flatMap(id => {
    const returned = {
      action: `${id} returns`,
      state: updateMembers(state, [id], {isUp: true}),
    };
    if (openDiskLosses > options.toleratedLosses) return [returned];
    return [
      returned,
      {
        action: `${id} returns with an empty disk`,
        state: addMember(id, getMember(state, id).name),
      },
      {action: `${id} has a successor`, state: addMember(id, `s${added}`)},
    ];
  });
}

/** Lists the members that are down and may return. */
function listWaiting(state: ModelState): string[] {
  return [...state.members]
    .filter(([, {isUp, isReplaced}]) => !isUp && !isReplaced)
    .map(([id]) => id);
}

/** Any voter that holds all acknowledged entries may win an election. */
function listElections(state: ModelState): Transition[] {
  if (state.leader !== null) return [];
  const up = state.voters.filter(id => {
    const {isUp, isEmpty} = getMember(state, id);
    return isUp && !isEmpty;
  });
  if (up.length < countMajority(state.voters)) return [];
  return up
    .filter(id => getMember(state, id).isHolder)
    .map(id => ({
      action: `${id} becomes leader`,
      state: {...state, leader: id, learners: []},
    }));
}

/** An entry is acknowledged once any smallest majority has synced it. */
function listCommits(state: ModelState): Transition[] {
  return listMajorities(state).map(majority => ({
    action: `an entry is synced by ${majority.join()}`,
    state: updateMembers(
      updateMembers(state, [...state.members.keys()], {isHolder: false}),
      majority,
      {isHolder: true},
    ),
  }));
}

/** Lists the smallest majorities of voters that are up, leader included. */
function listMajorities({leader, voters, members}: ModelState): string[][] {
  if (leader === null) return [];
  const others = voters.filter(id => {
    const member = members.get(id);
    return id !== leader && member?.isUp && !member.isEmpty;
  });
  const needed = countMajority(voters) - 1;
  if (others.length < needed) return [];
  return listSubsets(others, needed).map(each => [leader, ...each]);
}

function listCatchUps(state: ModelState): Transition[] {
  if (state.leader === null) return [];
  return [...state.voters, ...state.learners]
    .filter(id => {
      const {isUp, isHolder} = getMember(state, id);
      return isUp && !isHolder;
    })
    .map(id => ({
      action: `${id} catches up`,
      state: updateMembers(state, [id], {isHolder: true, isEmpty: false}),
    }));
}

/** The leader takes the planned step, for each silence of lost voters. */
function listRepairs(state: ModelState, options: ModelOptions): Transition[] {
  const {leader} = state;
  if (leader === null) return [];
  return SILENCES_MS.flatMap(silenceMs => {
    const view = createView(state, options, {leader, silenceMs});
    const step = planMembership(view);
    if (step.type === 'none' || step.type === 'wait') return [];
    if (step.type === 'learn' || step.type === 'forget') {
      const id = formatMember(step.member);
      const others = state.learners.filter(each => each !== id);
      const learners = step.type === 'learn' ? [...others, id] : others;
      return [{action: `${step.type} ${id}`, state: {...state, learners}}];
    }
    const voters = step.voters.map(formatMember);
    const changed = {
      ...state,
      voters,
      learners: state.learners.filter(id => !voters.includes(id)),
      changes: state.changes + 1,
    };
    // The majority that commits the change has all entries before it.
    return listMajorities(changed).map(majority => ({
      action: `${voters.join()} vote, synced by ${majority.join()}`,
      state: dropUnlisted(updateMembers(changed, majority, {isHolder: true})),
    }));
  });
}

/** Drops members that were replaced and do not vote any more. */
function dropUnlisted(state: ModelState): ModelState {
  const members = new Map(
    [...state.members].filter(
      ([id, {isReplaced}]) => !isReplaced || state.voters.includes(id),
    ),
  );
  return {...state, members};
}

function createView(
  state: ModelState,
  options: ModelOptions,
  {leader, silenceMs}: {leader: string; silenceMs: number},
): MembershipView {
  const hosts = new Map(
    [...state.members.values()].map(({name}) => [
      name,
      {name, region: 'r', dataCentre: name},
    ]),
  );
  const descriptions = new Map<string, ReplicaDescription>();
  for (const [id, member] of state.members) {
    if (!member.isUp || id === leader) continue;
    const {name, incarnation, isFresh} = member;
    descriptions.set(name, {
      incarnation,
      formed: true,
      ...(isFresh ? {emptySinceMs: 500} : {}),
    });
  }
  const createMember = (id: string) => {
    const {name, incarnation} = getMember(state, id);
    return {name, incarnation};
  };
  return {
    leader: createMember(leader),
    leadingMs: REACHABLE_MS,
    hosts: [...hosts.values()],
    voterCount: options.voterCount,
    spareCount: options.spareCount,
    voters: state.voters.map(id => ({
      member: createMember(id),
      sinceContactMs: getMember(state, id).isUp ? 0 : silenceMs,
    })),
    learners: state.learners.map(id => ({
      member: createMember(id),
      caughtUp: getMember(state, id).isHolder,
    })),
    descriptions,
    knownSuccessors: new Set(),
    replaceAfterMs: REPLACE_AFTER_MS,
    succeededAfterMs: SUCCEEDED_AFTER_MS,
    reachableMs: REACHABLE_MS,
  };
}

/**
 * Losses are over once neither a repair nor a catch-up is left to do, but for
 * those of members that are still down, or that vote although they were replaced.
 */
function listSettlements(
  state: ModelState,
  options: ModelOptions,
): Transition[] {
  const openDiskLosses = state.voters.filter(
    id => getMember(state, id).isReplaced,
  ).length;
  const openLosses = listWaiting(state).length + openDiskLosses;
  if (state.openLosses === openLosses || state.leader === null) return [];
  if (listRepairs(state, options).length > 0) return [];
  if (listCatchUps(state).length > 0) return [];
  const ids = [...state.members.keys()];
  return [
    {
      action: 'losses are over',
      state: {
        ...updateMembers(state, ids, {isFresh: false}),
        openLosses,
        openDiskLosses,
        losses: openLosses,
        changes: 0,
      },
    },
  ];
}

/** Lists all subsets with `size` elements. */
function listSubsets(ids: readonly string[], size: number): string[][] {
  if (size === 0) return [[]];
  return ids.flatMap((first, index) =>
    listSubsets(ids.slice(index + 1), size - 1).map(rest => [first, ...rest]),
  );
}
