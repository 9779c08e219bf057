import * as fc from 'fast-check';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {applyUpdate, DocumentHistory} from './document_history.ts';

// Documents come from JSON.parse(), so their objects have a prototype.
const plain = {noNullPrototype: true};
const document = fc.dictionary(
  fc.constantFrom('pools', 'versions', 'customers', 'draining'),
  fc.array(
    fc.record(
      {name: fc.string(), weight: fc.integer(), note: fc.string()},
      plain,
    ),
    {maxLength: 6},
  ),
  plain,
);

test('a patch from any kept revision yields the newest document', () => {
  const property = fc.property(fc.array(document, {minLength: 2}), steps => {
    const history = new DocumentHistory<unknown>();
    steps.forEach((step, revision) => history.record(revision, step));
    const newest = steps.length - 1;
    steps.forEach((step, revision) => {
      const update = history.describeUpdate(revision);
      if (revision === newest) {
        assert.is(update, undefined);
        return;
      }
      assert.ok(update);
      const before = JSON.stringify(step);
      assert.equal(applyUpdate(step, revision, update), steps[newest]);
      assert.is(JSON.stringify(step), before);
    });
  });
  fc.assert(property, {seed: 7, numRuns: 100});
});

test('an unknown revision gets the whole, a wrong base is refused', () => {
  const history = new DocumentHistory<unknown>();
  history.record(1, {a: 1});
  history.record(2, {a: 2});
  assert.equal(history.describeUpdate(0), {type: 'whole', document: {a: 2}});
  const patch = history.describeUpdate(1);
  assert.ok(patch);
  assert.is(patch.type, 'patch');
  assert.is(applyUpdate({a: 5}, 5, patch), null);
});

test.run();
