/** Assembles the dependencies that all requests of a gateway share. */
import type {EvidenceCollector} from '../../coordination/rollout/evidence_collector.ts';
import {QualityTable} from '../../coordination/quality/quality_table.ts';
import {createQualityObserver} from '../../coordination/quality/quality_observer.ts';
import {createRatingSampler} from '../../coordination/quality/rating_sampler.ts';
import {
  RatingMonitor,
  watchRatings,
} from '../../coordination/quality/rating_monitor.ts';
import {createLearningDecisions} from '../../coordination/requests/learning_decisions.ts';
import {createEvidenceObserver} from '../../coordination/requests/observe_evidence.ts';
import {createMetricsObserver} from '../../coordination/requests/observe_metrics.ts';
import type {RequestContext} from '../../coordination/requests/request_context.ts';
import {RequestHistory} from '../../coordination/requests/request_history.ts';
import {combineObservers} from '../../coordination/requests/request_observer.ts';
import {Settler} from '../../coordination/requests/settler.ts';
import {createEngineClient} from '../../transport/endpoints/engine_client.ts';
import {createRatingClient} from '../../transport/external/rating_client.ts';
import type {DaemonParts} from './daemon.ts';

interface Sources extends Pick<
  RequestContext,
  'ledger' | 'getView' | 'listEndpoints'
> {
  /** Counts the gateways that accept requests, including this one. */
  readonly countGateways: () => number;
  /** Collects measurements of versions for roll-out decisions. */
  readonly evidence: EvidenceCollector;
}

/** Creates the request context of one daemon. */
export function createRequestContext(
  parts: DaemonParts,
  sources: Sources,
): RequestContext {
  const {settings, createLogger, clock, store, metrics} = parts;
  const logger = createLogger('route');
  const place = {region: settings.region, dataCentre: settings.data_centre};
  const {ledger, getView, listEndpoints, evidence} = sources;
  const quality = new QualityTable({clock});
  const rating = new RatingMonitor(
    clock,
    settings.rating.address !== undefined,
  );
  const rate = watchRatings(
    createRatingClient(settings.rating.address),
    rating,
    clock,
  );
  return {
    ledger,
    getView,
    listEndpoints,
    ...place,
    gateway: settings.name,
    clock,
    random: Math.random,
    logger,
    dispatcher: store.add(createEngineClient({clock})),
    settler: new Settler({ledger, clock, logger}),
    history: new RequestHistory(),
    decisions: createLearningDecisions({
      ...place,
      gateway: settings.name,
      clock,
      random: Math.random,
      listEndpoints,
      countGateways: sources.countGateways,
      getView,
      quality,
      rating,
    }),
    rate,
    observer: combineObservers([
      createEvidenceObserver(evidence),
      createMetricsObserver(metrics),
      createQualityObserver({
        table: quality,
        sampler: createRatingSampler({clock, random: Math.random}),
        rate,
        getView,
        isAvailable: () => rating.state.available,
        onRating: (version, score) => {
          evidence.countRating(version, score);
          metrics.record('quality', score, {version});
        },
      }),
    ]),
  };
}
