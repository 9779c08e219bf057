/** Which changes of suspects decide what is sent, so that others are told at once. */
import {isShared} from './suspect.ts';
import {CONDEMN_LEVEL, type SuspectChange} from './suspect_table.ts';

/**
 * Whether a change decides which requests are sent: a suspect becomes known to all,
 * its chain of crashes grows towards a verdict, or it is condemned. Further crashes,
 * and that it is cleared, are told with each trial that is requested.
 */
export function isDecisive({
  suspect,
  previousLevel,
  wasShared,
  isNewVerdict,
}: SuspectChange): boolean {
  const isChainGrowing =
    suspect.level > previousLevel && previousLevel < CONDEMN_LEVEL;
  return isNewVerdict || isChainGrowing || (isShared(suspect) && !wasShared);
}

/**
 * Whether the core needs an observation of a gateway at once. What others are not
 * told, and further crashes, wait for the next report; that a suspect is cleared
 * does not, since its requests are held back until the core knows.
 */
export function isUrgentObservation(change: SuspectChange): boolean {
  const {suspect, previousLevel, wasShared} = change;
  if (wasShared && suspect.level < previousLevel) return true;
  return (wasShared || isShared(suspect)) && isDecisive(change);
}
