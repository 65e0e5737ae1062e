import { createFakeTarget, type FakeTarget, type FakeTargetOptions } from './createFakeTarget.js';
import { EngineSimulator, type FakeEngineLoad } from './engine/engineSimulator.js';
import { DEFAULT_ENGINE_SETTINGS, type FakeEngineSettings } from './engine/engineSettings.js';
import { engineOrderSchema, type FakeEngineOrder } from './engine/orderHandler.js';
import { type FakeExchange, sendJson } from './fakeServer.js';

/** Options of {@link createFakeEngine}; the defaults give a warm engine without faults. */
export type FakeEngineOptions = FakeTargetOptions &
  Pick<FakeEngineSettings, 'speed'> &
  Partial<FakeEngineSettings>;

/** A running fake engine. */
export interface FakeEngine extends FakeTarget {
  /** Returns the current load, without the sampling lag of `GET /load`. */
  readonly load: () => FakeEngineLoad;
  /** Returns the executed orders. */
  readonly orders: () => readonly FakeEngineOrder[];
}

/** Starts a fake inference engine with OpenAI-style streaming completions. */
export async function createFakeEngine(opts: FakeEngineOptions): Promise<FakeEngine> {
  const settings: FakeEngineSettings = { ...DEFAULT_ENGINE_SETTINGS, ...opts };
  const simulator = EngineSimulator.create({ settings, target: () => target });
  const target: FakeTarget = await createFakeTarget({
    ...settings,
    workPaths: new Set(['/v1/completions']),
    run: (run) => simulator.run(run),
    handleOther: (exchange) => {
      exchange.response.setHeader('x-engine-start-id', target.startId());
      return Promise.resolve(handleOther({ exchange, simulator, seenLoad }));
    },
    onCold: () => {
      simulator.clearCache();
    },
    currentVersion: () => simulator.version,
  });
  let seenLoad = simulator.load;
  const stopSampling = settings.timer.every({
    intervalMs: settings.loadLagMs,
    notify: () => {
      seenLoad = simulator.load;
    },
  });
  return {
    ...target,
    load: () => simulator.load,
    orders: () => simulator.orderHandler.executed,
    close: () => {
      stopSampling();
      return target.close();
    },
  };
}

function handleOther({
  exchange: { path, method, text, response },
  simulator,
  seenLoad,
}: {
  readonly exchange: FakeExchange;
  readonly simulator: EngineSimulator;
  readonly seenLoad: FakeEngineLoad;
}): boolean {
  if (path === '/load') {
    sendJson(response, { status: 200, body: seenLoad });
    return true;
  }
  if (path === '/cache-events') {
    simulator.feed.subscribe(response);
    return true;
  }
  if (path === '/orders' && method === 'POST') {
    const isAccepted = simulator.orderHandler.execute(engineOrderSchema.parse(JSON.parse(text)));
    const refusal = { error: { code: 'old-fencing-number' } };
    sendJson(response, isAccepted ? { status: 200, body: {} } : { status: 409, body: refusal });
    return true;
  }
  if (path === '/orders') {
    sendJson(response, { status: 200, body: { orders: simulator.orderHandler.executed } });
    return true;
  }
  return false;
}
