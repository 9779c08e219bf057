/** Answers the long polls by which gateways follow the core. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  Configuration,
  FollowReply,
  FollowRequest,
} from '../../protocol/core_service.ts';
import type {FollowerTable} from '../confirmation/follower_table.ts';
import type {CoreState} from './core_state.ts';
import {countReportEntries, type EntryMeter} from './entry_meter.ts';

/** After this time every live endpoint has reported to some daemon. */
const SETTLED_AFTER_MS = 6_000;

/** A core daemon contacts the others each 0.8 s; two calls may be lost. */
export const SILENT_AFTER_MS = 2_500;

/**
 * The least time between two replies to a gateway with changes: those that come in
 * quick succession are sent together. Acknowledgements wait for configurations and
 * endpoints; for all else it grows with the number of gateways, all of which are told.
 */
const REPLY_INTERVAL_MS = 40;
const OTHERS_MS_PER_GATEWAY = 2;
const MAX_OTHERS_INTERVAL_MS = 160;

/** The interval at which gateways get the loads of others and the core daemons. */
const LOADS_INTERVAL_MS = 200;

export interface FollowServiceOptions {
  readonly state: CoreState;
  readonly clock: Clock;
  /** Identifies one run of this daemon. */
  readonly epoch: string;
  /** Returns the configuration that is committed here. */
  readonly getConfiguration: () => Configuration;
  /** Whether this daemon leads or had recent contact with the leader. */
  readonly isFresh: () => boolean;
  /** Records which gateways follow this daemon, and what they have. */
  readonly followers: FollowerTable;
  /** Counts what gateways report; by default nothing does. */
  readonly entries?: EntryMeter | undefined;
}

/** Creates the handler of the gateways' follow requests. */
export function createFollowService(options: FollowServiceOptions) {
  const {state, clock} = options;
  const startedAt = clock.monotonic();
  // The epoch changes once the list is complete, so that gateways receive all
  // of it again and remove the endpoints that it does not contain.
  const getEpoch = () =>
    clock.monotonic() - startedAt >= SETTLED_AFTER_MS
      ? `${options.epoch}/settled`
      : options.epoch;
  return async (request: FollowRequest): Promise<FollowReply> => {
    options.followers.record(request);
    options.entries?.record('follow', countReportEntries([request.report]));
    state.gateways.recordDirect(request.report);
    const {address} = request.report.gateway;
    const deadline = clock.monotonic() + request.holdMs;
    const repliedAt =
      request.epoch === getEpoch()
        ? options.followers.getRepliedAt(address)
        : -Infinity;
    for (;;) {
      const now = clock.monotonic();
      const intervalMs = findIntervalMs(options, request, getEpoch());
      const dueAt = Math.min(deadline, repliedAt + intervalMs);
      if (now >= dueAt) break;
      await state.changes.wait(dueAt - now);
    }
    options.followers.recordReply(address);
    return createReply(options, request, getEpoch());
  };
}

/** Finds the least time between two replies, in ms; `Infinity` without changes. */
function findIntervalMs(
  {state, getConfiguration}: FollowServiceOptions,
  request: FollowRequest,
  epoch: string,
): number {
  if (
    request.epoch !== epoch ||
    state.endpoints.revision > request.endpointRevision ||
    getConfiguration().revision > request.configurationRevision
  ) {
    return REPLY_INTERVAL_MS;
  }
  const hasOthers =
    state.gateways.lastClosingRevision > request.gatewayRevision ||
    state.limits.urgentRevision > (request.limitRevision ?? Infinity) ||
    state.suspects.dueRevision > (request.suspectRevision ?? Infinity);
  if (!hasOthers) return Infinity;
  const ms = state.gateways.findOpen().list.length * OTHERS_MS_PER_GATEWAY;
  return Math.min(MAX_OTHERS_INTERVAL_MS, Math.max(REPLY_INTERVAL_MS, ms));
}

function createReply(
  options: FollowServiceOptions,
  request: FollowRequest,
  epoch: string,
): FollowReply {
  const {state, getConfiguration, isFresh} = options;
  const complete = request.epoch !== epoch;
  const configuration = getConfiguration();
  const isNewer = configuration.revision > request.configurationRevision;
  const open = state.gateways.findOpen();
  const isOpenListKnown =
    !complete && open.revision === request.gatewayRevision;
  const loadRevision =
    1 + Math.floor(options.clock.monotonic() / LOADS_INTERVAL_MS);
  const isLoadKnown = !complete && request.loadRevision === loadRevision;
  const isDocumentKnown =
    request.configurationVersion !== undefined &&
    request.configurationVersion === configuration.version;
  return {
    epoch,
    endpointRevision: state.endpoints.revision,
    complete,
    settled: epoch !== options.epoch,
    endpoints: state.endpoints.list(complete ? 0 : request.endpointRevision),
    configuration: isNewer
      ? {
          ...configuration,
          document: isDocumentKnown ? null : configuration.document,
        }
      : null,
    cores: isLoadKnown ? null : state.members.list(),
    silentCores: state.members.listSilent(SILENT_AFTER_MS),
    loads: isLoadKnown
      ? null
      : state.gateways.sumLoads(request.report.gateway.address),
    loadRevision,
    gatewayRevision: open.revision,
    openGateways: isOpenListKnown ? null : open.list,
    limitRevision: state.limits.revision,
    limits: state.limits.list(complete ? 0 : request.limitRevision),
    suspectRevision: state.suspects.table.revision,
    suspects: state.suspects.shared.list(
      complete ? 0 : request.suspectRevision,
    ),
    fresh: isFresh(),
    keepsReports: true,
  };
}
