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
    hosts: HOSTS,
    voterCount: 3,
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
  assert.equal(promote, {type: 'change', voters});
});

test('a learner that has not caught up is not promoted', () => {
  const learners = [{member: createMember('d'), caughtUp: false}];
  const view = {voters: [...others, lostC], descriptions: withoutC, learners};
  assert.equal(planMembership(createView(view)), {type: 'none'});
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
  assert.equal(step, {type: 'change', voters: kept});
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
  assert.equal(planMembership(createView(view)), {type: 'none'});
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
  });
});

test.run();
