/** What a core daemon keeps on its disk beside the replicated log. */
import {SavedEndpoints} from '../../coordination/confirmation/saved_endpoints.ts';
import type {CoreState} from '../../coordination/core/core_state.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {Configuration} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {FileSystem} from '../../state/files/file_system.ts';
import {nodeFileSystem} from '../../state/files/node_file_system.ts';
import type {RoutingState} from '../../state/routing/routing_state.ts';
import {EndpointJournal} from '../../state/view/endpoint_journal.ts';
import {ViewFile} from '../../state/view/saved_view.ts';
import type {DisposableStore} from '../serve/disposable_store.ts';

export interface OpenViewOptions {
  readonly folder: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Owns the open files. */
  readonly store: DisposableStore;
  /** Gets the endpoints and suspects that the disk holds. */
  readonly state: CoreState;
  readonly routing: RoutingState;
  /** Defaults to the file system of the host. */
  readonly files?: FileSystem;
}

/**
 * The newest committed configuration. It comes from the saved view until the
 * replica has caught up, so it is available before a leader is elected.
 */
export interface CommittedView {
  /** How much of the list of endpoints the disk holds. */
  readonly saved: SavedEndpoints;
  getConfiguration(): Configuration;
  saveIfChanged(): void;
}

/** Restores the state of a daemon from its disk, and begins to keep it there. */
export async function openView({
  folder,
  clock,
  logger,
  store,
  state,
  routing,
  files = nodeFileSystem,
}: OpenViewOptions): Promise<CommittedView> {
  const file = new ViewFile({folder, logger, files});
  const journal = store.add(
    await EndpointJournal.open({folder, logger, files}),
  );
  const view = await file.load();
  if (view) {
    state.endpoints.restore(view.endpoints);
    state.suspects.merge(view.suspects, clock.monotonic());
  }
  state.endpoints.restore(journal.loaded);
  if (view || journal.loaded.length > 0) {
    logger.info('Restores the endpoints that the disk holds.', {
      view: view?.endpoints.length ?? 0,
      journal: journal.loaded.length,
      leaving: state.endpoints.list().filter(each => each.state !== 'ready')
        .length,
    });
  }
  const {endpoints} = state;
  const saved = new SavedEndpoints({clock, endpoints, journal});
  let savedRevisions = '';
  const getConfiguration = () => {
    const {configuration} = routing;
    return view && view.configuration.revision > configuration.revision
      ? view.configuration
      : configuration;
  };
  return {
    saved,
    getConfiguration,
    saveIfChanged() {
      const configuration = getConfiguration();
      const {revision} = endpoints;
      const revisions = [
        configuration.revision,
        revision,
        state.suspects.table.revision,
      ].join('/');
      if (revisions === savedRevisions) return;
      savedRevisions = revisions;
      const content = {
        configuration,
        endpoints: state.listSavedReports(),
        suspects: state.suspects.table.list(),
      };
      void file.save(content).then(isSaved => {
        if (isSaved) saved.recordView(revision);
      });
    },
  };
}
