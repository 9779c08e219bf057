/**
 * A stand-in for the weight store, which serves loads one at a time at a fixed
 * rate. `POST /v1/loads/MODEL/VERSION` begins a load.
 *
 * The command line argument is a JSON object with `address`, `bytes` and
 * `rate`.
 */
import polka from 'polka';
import * as z from 'zod';

const optionsSchema = z.object({
  address: z.string(),
  bytes: z.number().positive().default(1_000_000),
  /** Bytes per second. */
  rate: z.number().positive().default(1_000_000),
});

const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
let busyUntil = 0;

function describe(version: string): string {
  const waitMs = Math.max(0, busyUntil - Date.now());
  return JSON.stringify({
    version,
    bytes: options.bytes,
    rate: options.rate,
    wait_ms: waitMs,
  });
}

const [host, port] = options.address.split(':');
polka()
  .get('/v1/weights/:model/:version', (request, response) => {
    const {model, version} = request.params;
    response.end(describe(`${model}/${version}`));
  })
  .post('/v1/loads/:model/:version', (request, response) => {
    const {model, version} = request.params;
    const loadMs = (options.bytes / options.rate) * 1_000;
    const reply = describe(`${model}/${version}`);
    busyUntil = Math.max(busyUntil, Date.now()) + loadMs;
    response.end(reply);
  })
  .listen(Number(port), host);
