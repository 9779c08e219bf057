/**
 * A stand-in for the rating service: returns each version's configured score
 * after a delay. `POST /control` changes scores and delay; `GET /asked` lists
 * the versions that were rated.
 *
 * The command line argument is a JSON object with `address`, `scores` and
 * `delayMs`.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import polka from 'polka';
import * as z from 'zod';
import {ratingRequestSchema} from '../../src/protocol/external_services.ts';

const controlSchema = z.object({
  /** Scores by version; `null` means that the service gives no score. */
  scores: z.record(z.string(), z.number().nullable()).default({}),
  delayMs: z.number().default(0),
});

const optionsSchema = controlSchema.extend({address: z.string()});

const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
let control: z.infer<typeof controlSchema> = options;
const ratedVersions: string[] = [];

async function readJson(request: AsyncIterable<unknown>): Promise<unknown> {
  let text = '';
  for await (const part of request) text += String(part);
  return JSON.parse(text) as unknown;
}

const [host, port] = options.address.split(':');
polka()
  .post('/v1/ratings', async (request, response) => {
    const {version} = ratingRequestSchema.parse(await readJson(request));
    ratedVersions.push(version);
    await sleep(control.delayMs);
    response.end(JSON.stringify({score: control.scores[version] ?? null}));
  })
  .post('/control', async (request, response) => {
    control = controlSchema.parse(await readJson(request));
    response.end('{}');
  })
  .get('/asked', (_request, response) => {
    response.end(JSON.stringify(ratedVersions));
  })
  .listen(Number(port), host);
