import assert from 'node:assert/strict';
import {test} from 'uvu';
import {announcementSchema} from './endpoint.ts';
import {parseMessage} from './parse_message.ts';
import {exchangeRequestSchema, peerReplySchemas} from './peer_service.ts';

const ANNOUNCEMENT = {
  name: 'e1',
  incarnation: '1',
  address: '10.0.0.1:9000',
  region: 'r',
  dataCentre: 'a',
  pool: 'p',
  versions: ['m/1'],
  slots: 16,
  versionSlots: 1,
  checksFencing: true,
  resumes: true,
  leaving: false,
  load: {running: 1, waiting: 0, ageMs: 5},
};

const RECORD = {...ANNOUNCEMENT, sequence: 1, leaseMs: 3_000};

const RENEWAL = {
  name: 'e1',
  incarnation: '1',
  sequence: 2,
  leaseMs: 3_000,
  load: ANNOUNCEMENT.load,
};

const LONG = 'x'.repeat(100_000);

const ODD_CHANGES: ReadonlyArray<Readonly<Record<string, unknown>>> = [
  {address: '10.0.0.1:99999'},
  {address: '10.0.0.1:0'},
  {address: 'engine.example:80'},
  {address: ''},
  {address: LONG},
  {name: LONG},
  {name: ''},
  {incarnation: LONG},
  {pool: LONG},
  {versions: [LONG]},
  {versions: Array.from({length: 100_000}, () => 'm/1')},
  {slots: 0},
  {slots: 0.5},
  {slots: 2 ** 53},
  {slots: 1e300},
  {versionSlots: 2 ** 52},
  {load: {running: Infinity, waiting: 0}},
  {load: {running: 2 ** 53 - 1, waiting: 0}},
  {load: {running: 1, waiting: 0, ageMs: 1e300}},
];

test('announcementSchema accepts unknown fields and omitted ones', () => {
  const {name, incarnation, address, region, dataCentre, pool} = ANNOUNCEMENT;
  const least = {name, incarnation, address, region, dataCentre, pool};
  const parsed = announcementSchema.safeParse({...least, unknown: [[]]});
  assert.equal(parsed.success, true);
});

// Guards against an announcement whose address makes each request to the
// endpoint fail with an exception, or whose numbers no daemon can compute with.
test('announcementSchema refuses odd values', () => {
  assert.equal(announcementSchema.safeParse(ANNOUNCEMENT).success, true);
  for (const change of ODD_CHANGES) {
    const parsed = announcementSchema.safeParse({...ANNOUNCEMENT, ...change});
    const text = JSON.stringify(change).slice(0, 60);
    assert.equal(parsed.success, false, text);
  }
});

// Guards against one odd record that costs the receiver all others.
test('an exchange with odd records delivers the others', () => {
  const odd = [
    null,
    [],
    {...RECORD, leaseMs: 1e300},
    {...RECORD, leaseMs: null},
    {...RECORD, sequence: 1e300},
    ...ODD_CHANGES.map(change => ({...RECORD, ...change})),
  ];
  const parsed = parseMessage(exchangeRequestSchema, {
    dataCentre: 'a',
    records: [...odd, RECORD, ...odd],
    renewals: [null, RENEWAL, {...RENEWAL, leaseMs: -1e300}],
  });
  assert.ok(parsed.ok);
  const {records, renewals} = parsed.value.value;
  assert.deepEqual(records, [RECORD]);
  assert.deepEqual(renewals, [RENEWAL]);
  const reply = parseMessage(peerReplySchemas.listEndpoints, {
    records: [...odd, RECORD, ...odd],
  });
  assert.ok(reply.ok);
  assert.deepEqual(reply.value.value.records, [RECORD]);
});

test.run();
