/** The initial declaration of a scenario. */
import {hashKey} from './system.ts';

/** Creates `count` customers with their API keys. */
export function listCustomers(count: number) {
  return Array.from({length: count}, (_, index) => ({
    name: `customer-${index}`,
    apiKey: `key-${index}`,
  }));
}

/** Creates a declaration with two versions and one service. */
export function createDeclaration(
  version: number,
  customers: ReadonlyArray<{name: string; apiKey: string}>,
) {
  const draft = {model: 'draft', pool: 'drafting'};
  return {
    version,
    pools: [{name: 'drafting'}, {name: 'booking'}],
    versions: [
      {
        ...draft,
        name: 'small',
        prompt_price: 10,
        completion_price: 20,
        expected_quality: 0.9,
      },
      {
        ...draft,
        name: 'large',
        prompt_price: 100,
        completion_price: 200,
        expected_quality: 0.95,
      },
    ],
    services: [
      {
        name: 'booking',
        pool: 'booking',
        calls: [{method: 'POST', path: '/bookings', price: 5}],
      },
    ],
    customers: customers.map(customer => ({
      name: customer.name,
      key_sha256: hashKey(customer.apiKey),
      versions: ['draft/*'],
      services: ['booking'],
      targets: [{quality: 0.8}],
    })),
  };
}
