/** The calls of an operator to a simulated core daemon. */
import type {ControlCore, ControlPlane} from './control_plane.ts';

/** How long an operator waits for an answer. */
const ANSWER_MS = 1_000;

/** Calls a core daemon; resolves to `null` without an answer in time. */
export async function callAsOperator<T>(
  plane: ControlPlane,
  name: string,
  serve: (core: ControlCore) => Promise<T>,
): Promise<T | null> {
  const core = plane.cores.get(name);
  if (!core || plane.group.isolated.has(name)) {
    await plane.clock.sleep(ANSWER_MS);
    return null;
  }
  const timeout = plane.clock.sleep(ANSWER_MS).then(() => null);
  const {processors} = plane;
  const reply = core.clock.waitUntilRunning().then(async () => {
    await processors.handleMessage(name, undefined);
    const outcome = await serve(core);
    await processors.handleMessage(name, undefined);
    await core.clock.waitUntilRunning();
    return core.isAlive ? outcome : null;
  });
  return Promise.race([reply, timeout]);
}
