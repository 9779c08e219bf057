/** The connections of a simulated gateway to endpoints, which may break. */
import type {Clock} from '../../protocol/clock.ts';
import type {AttemptOptions, AttemptOutcome} from '../forwarding/call.ts';
import {waitForAbort} from '../forwarding/fake_answers.ts';
import type {LinkFault} from './simulated_site_types.ts';
import type {SimulatedGateway} from './simulated_gateway.ts';

/** The time until a new connection is reset, in ms. */
const RESET_MS = 20;

const BROKEN = {type: 'broken', reason: 'read ECONNRESET'} as const;

export interface LinkedAnswer {
  readonly clock: Clock;
  readonly options: AttemptOptions;
  /** Lets the endpoint work; its signal also aborts when the links break. */
  readonly answer: (options: AttemptOptions) => Promise<AttemptOutcome>;
}

/** Relays an attempt over the links of a gateway as they are now. */
export async function answerOverLinks(
  {links, linkFault}: Pick<SimulatedGateway, 'links' | 'linkFault'>,
  {clock, options, answer}: LinkedAnswer,
): Promise<AttemptOutcome> {
  if (linkFault !== null) return failOnLinks(linkFault, {clock, options});
  const signal = AbortSignal.any([options.signal, links.signal]);
  const outcome = await answer({...options, signal});
  const isBroken = links.signal.aborted && !options.signal.aborted;
  return isBroken && outcome.type === 'aborted' ? BROKEN : outcome;
}

/** Fails a new attempt over broken links. */
async function failOnLinks(
  fault: LinkFault,
  {clock, options: {signal}}: Pick<LinkedAnswer, 'clock' | 'options'>,
): Promise<AttemptOutcome> {
  switch (fault) {
    case 'refuse':
      return {type: 'not-sent', reason: 'ECONNREFUSED'};
    case 'reset':
      await clock.sleep(RESET_MS, signal);
      return signal.aborted ? {type: 'aborted'} : BROKEN;
    case 'hang':
      await waitForAbort(signal).catch(() => {});
      return {type: 'aborted'};
  }
}
