import assert from 'node:assert/strict';
import {test} from 'uvu';
import {addressSchema, listenAddressSchema, splitAddress} from './address.ts';

test('addressSchema accepts IPv4 addresses with a port', () => {
  for (const address of ['10.0.0.1:1', '255.255.255.255:65535']) {
    assert.equal(addressSchema.safeParse(address).success, true, address);
  }
});

// Guards against an address that is accepted and then fails each connection
// with an exception.
test('addressSchema refuses what cannot be connected to', () => {
  const others: unknown[] = [
    '',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:080',
    '10.0.0.1:65536',
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '10.0.0.1:1e3',
    '10.0.0.1:80 ',
    '10.0.0.1:80\n',
    '10.0.0.1:80/path',
    '10.0.0:80',
    '10.0.0.256:80',
    '010.0.0.1:80',
    '0.0.0.0:80',
    'localhost:80',
    'user@10.0.0.1:80',
    '::1:80',
    '[::1]:80',
    `${'a'.repeat(100_000)}:80`,
    80,
    null,
    ['10.0.0.1:80'],
    {host: '10.0.0.1', port: 80},
  ];
  for (const address of others) {
    const {success} = addressSchema.safeParse(address);
    assert.equal(success, false, String(address).slice(0, 40));
  }
});

test('listenAddressSchema accepts the unspecified address', () => {
  assert.equal(listenAddressSchema.safeParse('0.0.0.0:80').success, true);
  assert.equal(listenAddressSchema.safeParse('0.0.0.0:0').success, false);
});

test('splitAddress() returns the host and the port', () => {
  assert.deepEqual(splitAddress('10.0.0.1:8080'), ['10.0.0.1', 8080]);
});

test.run();
