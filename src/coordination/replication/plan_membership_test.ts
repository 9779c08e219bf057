import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {planMembership, type MembershipView} from './plan_membership.ts';

const HOSTS = ['a', 'b', 'c', 'd'].map(name => ({
  name,
  region: 'r',
  dataCentre: name,
}));

function createMember(name: string, incarnation = `${name}1`) {
  return {name, incarnation};
}

function createView(changes: Partial<MembershipView>): MembershipView {
  return {
    leader: createMember('a'),
    leadingMs: 60_000,
    hosts: HOSTS,
    voterCount: 3,
    spareCount: 0,
    knownSuccessors: new Set(),
    firstIndex: 1,
    voters: ['a', 'b', 'c'].map(name => ({
      member: createMember(name),
      sinceContactMs: 0,
    })),
    learners: [],
    descriptions: new Map(
      ['b', 'c', 'd'].map(name => [
        name,
        {incarnation: `${name}1`, formed: true},
      ]),
    ),
    replaceAfterMs: 30_000,
    succeededAfterMs: 2_000,
    reachableMs: 1_000,
    ...changes,
  };
}

const lostC = {member: createMember('c'), sinceContactMs: 40_000};
const others = ['a', 'b'].map(name => ({
  member: createMember(name),
  sinceContactMs: 0,
}));
const withoutC = new Map(
  ['b', 'd'].map(name => [name, {incarnation: `${name}1`, formed: true}]),
);

test('a healthy group is not changed', () => {
  assert.equal(planMembership(createView({})), {type: 'none'});
});

test('a voter without contact for too long is replaced by a spare', () => {
  const view = {voters: [...others, lostC], descriptions: withoutC};
  const learn = planMembership(createView(view));
  assert.equal(learn, {type: 'learn', member: createMember('d')});
  const learners = [{member: createMember('d'), caughtUp: true}];
  const promote = planMembership(createView({...view, learners}));
  const voters = ['a', 'b', 'c', 'd'].map(name => createMember(name));
  const lost = [{voter: lostC, reason: 'silent'}];
  assert.equal(promote, {type: 'change', voters, lost});
});

test('a learner that has not caught up is not promoted', () => {
  const learners = [{member: createMember('d'), caughtUp: false}];
  const view = {voters: [...others, lostC], descriptions: withoutC, learners};
  assert.equal(planMembership(createView(view)), {
    type: 'wait',
    reason: 'no learner has caught up',
  });
});

test('a promoted learner is not promoted again', () => {
  const learners = [{member: createMember('d'), caughtUp: true}];
  const voters = [...others, {member: createMember('d'), sinceContactMs: 0}];
  const step = planMembership(createView({voterCount: 4, voters, learners}));
  assert.equal(step, {type: 'forget', member: createMember('d')});
});

test('a surplus voter after a late return is removed', () => {
  const voters = ['a', 'b', 'c', 'd'].map(name => ({
    member: createMember(name),
    sinceContactMs: 0,
  }));
  const kept = ['a', 'b', 'c'].map(name => createMember(name));
  const step = planMembership(createView({voters}));
  assert.equal(step, {type: 'change', voters: kept, lost: []});
});

test('no change is made without a reachable majority', () => {
  const silent = {member: createMember('b'), sinceContactMs: 5_000};
  const learners = [{member: createMember('d'), caughtUp: true}];
  const voters = [
    {member: createMember('a'), sinceContactMs: 0},
    silent,
    lostC,
  ];
  const view = {voters, descriptions: withoutC, learners};
  assert.equal(planMembership(createView(view)), {
    type: 'wait',
    reason: 'no majority of voters reachable',
  });
});

test('an earlier disk of the leader host is removed', () => {
  const leader = createMember('a', 'a2');
  const step = planMembership(
    createView({
      leader,
      voters: [
        {member: createMember('b'), sinceContactMs: 0},
        {member: createMember('a'), sinceContactMs: 40_000},
        {member: leader, sinceContactMs: 0},
        {member: createMember('c'), sinceContactMs: 0},
      ],
    }),
  );
  assert.equal(step, {
    type: 'change',
    voters: [createMember('b'), leader, createMember('c')],
    lost: [
      {
        voter: {member: createMember('a'), sinceContactMs: 40_000},
        reason: 'disk',
      },
    ],
  });
});

const FIVE = ['a', 'b', 'c', 'd', 'e'];

/** Five voters of six hosts; `silentMs` says which of them do not answer. */
function createFive(
  silentMs: Readonly<Record<string, number>>,
  changes: Partial<MembershipView> = {},
): MembershipView {
  const voters = FIVE.map(name => ({
    member: createMember(name),
    sinceContactMs: silentMs[name] ?? 0,
  }));
  return createView({
    hosts: [...FIVE, 'f', 'g'].map(name => ({
      name,
      region: 'r',
      dataCentre: name,
    })),
    voterCount: 5,
    voters,
    descriptions: new Map(),
    ...changes,
  });
}

/** The description of a replica that started with an empty disk. */
function createEmpty(name: string, emptySinceMs: number) {
  return [name, {incarnation: `${name}1`, formed: true, emptySinceMs}] as const;
}

function listChanged(view: MembershipView): string | undefined {
  const step = planMembership(view);
  if (step.type !== 'change') return undefined;
  return step.voters.map(({name}) => name).join('');
}

const caughtUpF = {member: createMember('f'), caughtUp: true};

// Guards against a repair that comes later than the next loss.
test('a silent voter is replaced early by a member with an empty disk', () => {
  const changes = {
    descriptions: new Map([createEmpty('f', 500)]),
    learners: [caughtUpF],
  };
  assert.is(listChanged(createFive({c: 1_900}, changes)), undefined);
  assert.is(listChanged(createFive({c: 2_100}, changes)), 'abcdef');
});

test('a voter that only restarts is not replaced by a standing spare', () => {
  const description = {incarnation: 'f1', formed: true};
  const changes = {
    descriptions: new Map([['f', description]]),
    learners: [caughtUpF],
  };
  assert.is(listChanged(createFive({c: 6_000}, changes)), undefined);
  assert.is(listChanged(createFive({c: 31_000}, changes)), 'abcdef');
});

test('one new member is evidence of one loss, the longest silence', () => {
  const changes = {
    descriptions: new Map([createEmpty('f', 500)]),
    learners: [caughtUpF],
  };
  const step = planMembership(createFive({b: 3_000, c: 5_000}, changes));
  assert.is(step.type, 'change');
  const lost = step.type === 'change' ? step.lost : [];
  assert.equal(
    lost.map(({voter}) => voter.member.name),
    ['c'],
  );
});

test('a member from long before the silence is no evidence of a loss', () => {
  const changes = {
    descriptions: new Map([createEmpty('f', 60_000)]),
    learners: [caughtUpF],
  };
  assert.is(listChanged(createFive({c: 3_000}, changes)), undefined);
});

// Guards against voters that count as lost since a leader that was itself cut
// off has not had their answers yet.
test('a leader that was just elected waits for answers to its calls', () => {
  const changes = {
    descriptions: new Map([createEmpty('f', 500)]),
    learners: [caughtUpF],
  };
  const view = createFive({b: 9_000, c: 9_000}, changes);
  assert.is(listChanged({...view, leadingMs: 300}), undefined);
});

// Guards against a new leader that removes the successor and keeps the lost
// voter, because the term in which it was taken in has ended.
test('a surplus voter that does not answer is removed before others', () => {
  const names = [...FIVE, 'f'];
  const voters = names.map(name => ({
    member: createMember(name),
    sinceContactMs: name === 'c' ? 2_500 : 0,
  }));
  assert.is(listChanged(createFive({}, {voters})), 'abdef');
});

test('a lost voter is removed once the number of voters is even', () => {
  const voters = ['a', 'b', 'c', 'f'].map(name => ({
    member: createMember(name),
    sinceContactMs: name === 'c' ? 31_000 : 0,
  }));
  assert.is(listChanged(createFive({}, {voters})), 'abf');
  assert.is(
    listChanged(createFive({}, {voters: voters.slice(0, 3)})),
    undefined,
  );
});

test('a host with another disk is replaced by that disk first', () => {
  const changes = {
    descriptions: new Map([
      ['c', {incarnation: 'c2', formed: true, emptySinceMs: 300}],
      ['f', {incarnation: 'f1', formed: true}],
    ]),
    learners: [caughtUpF, {member: createMember('c', 'c2'), caughtUp: true}],
  };
  const step = planMembership(createFive({}, changes));
  assert.is(step.type, 'change');
  const voters = step.type === 'change' ? step.voters : [];
  assert.equal(voters.at(-1), createMember('c', 'c2'));
});

test('a fourth host stands by, since four voters bear no further loss', () => {
  const voters = ['a', 'b', 'c'].map(name => ({
    member: createMember(name),
    sinceContactMs: 0,
  }));
  const learners = [caughtUpF];
  const descriptions = new Map([
    ['f', {incarnation: 'f1', formed: true}],
    ['g', {incarnation: 'g1', formed: true}],
  ]);
  const four = new Map([...descriptions].slice(0, 1));
  assert.is(
    listChanged(createFive({}, {voters, learners, descriptions: four})),
    undefined,
  );
  assert.is(
    listChanged(createFive({}, {voters, learners, descriptions})),
    'abcf',
  );
});

test('spares are kept as learners up to their number', () => {
  const descriptions = new Map([
    ['f', {incarnation: 'f1', formed: true}],
    ['g', {incarnation: 'g1', formed: true}],
  ]);
  const first = planMembership(createFive({}, {descriptions, spareCount: 1}));
  assert.equal(first, {type: 'learn', member: createMember('f')});
  const learners = [caughtUpF];
  const view = createFive({}, {descriptions, learners, spareCount: 1});
  assert.equal(planMembership(view), {type: 'none'});
});

// Guards against a group that shrinks to a single disk while its hosts are
// exchanged in the settings: voters were removed before others took their place.
test('voters that are not listed any more are removed after their replacement', () => {
  const hosts = ['a', 'd', 'e'].map(name => ({
    name,
    region: 'r',
    dataCentre: name,
  }));
  const descriptions = new Map(
    ['d', 'e'].map(name => [name, {incarnation: `${name}1`, formed: true}]),
  );
  const listSteps = (caughtUp: boolean) => {
    const learners = [{member: createMember('d'), caughtUp}];
    const view = {hosts, descriptions, learners, spareCount: 1};
    return listChanged(createView(view));
  };
  assert.is(listSteps(false), undefined);
  assert.is(listSteps(true), 'abcd');
  const voters = ['a', 'b', 'c', 'd'].map(name => ({
    member: createMember(name),
    sinceContactMs: 0,
  }));
  assert.is(listChanged(createView({hosts, descriptions, voters})), 'acd');
  const two = hosts.slice(0, 1).concat(HOSTS.slice(1, 2));
  const without = {hosts: two, descriptions: new Map()};
  assert.is(listChanged(createView(without)), 'ab');
});

test.run();
