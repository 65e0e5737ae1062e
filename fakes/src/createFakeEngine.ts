import { createFakeTarget, type FakeTarget, type FakeTargetOptions } from './createFakeTarget.js';
import { EngineSimulator, type FakeEngineLoad } from './engine/engineSimulator.js';
import { DEFAULT_ENGINE_SETTINGS, type FakeEngineSettings } from './engine/engineSettings.js';
import { engineOrderSchema, type FakeEngineOrder } from './engine/orderHandler.js';
import { type FakeExchange, sendJson } from './fakeServer.js';

/** Options of {@link createFakeEngine}; what is left out makes for a warm engine without faults. */
export type FakeEngineOptions = FakeTargetOptions &
  Pick<FakeEngineSettings, 'speed'> &
  Partial<FakeEngineSettings>;

/** A fake engine that runs. */
export interface FakeEngine extends FakeTarget {
  /** The load without the lag. */
  readonly load: () => FakeEngineLoad;
  /** The orders that were carried out. */
  readonly orders: () => readonly FakeEngineOrder[];
}

/** Starts a fake model engine with OpenAI-style streamed completions. */
export async function createFakeEngine(opts: FakeEngineOptions): Promise<FakeEngine> {
  const settings: FakeEngineSettings = { ...DEFAULT_ENGINE_SETTINGS, ...opts };
  const model = EngineSimulator.create({ settings, target: () => target });
  const target: FakeTarget = await createFakeTarget({
    ...settings,
    workPaths: new Set(['/v1/completions']),
    run: (run) => model.run(run),
    handleOther: (exchange) => {
      exchange.response.setHeader('x-engine-start-id', target.startId());
      return Promise.resolve(handleOther({ exchange, model, seenLoad }));
    },
    onCold: () => {
      model.clearCache();
    },
    currentVersion: () => model.version,
  });
  let seenLoad = model.load;
  const stopLooking = settings.timer.every({
    intervalMs: settings.loadLagMs,
    notify: () => {
      seenLoad = model.load;
    },
  });
  return {
    ...target,
    load: () => model.load,
    orders: () => model.orderHandler.executed,
    close: () => {
      stopLooking();
      return target.close();
    },
  };
}

function handleOther({
  exchange: { path, method, text, response },
  model,
  seenLoad,
}: {
  readonly exchange: FakeExchange;
  readonly model: EngineSimulator;
  readonly seenLoad: FakeEngineLoad;
}): boolean {
  if (path === '/load') {
    sendJson(response, { status: 200, body: seenLoad });
    return true;
  }
  if (path === '/cache-events') {
    model.feed.subscribe(response);
    return true;
  }
  if (path === '/orders' && method === 'POST') {
    const obeyed = model.orderHandler.execute(engineOrderSchema.parse(JSON.parse(text)));
    const refusal = { error: { code: 'old-fencing-number' } };
    sendJson(response, obeyed ? { status: 200, body: {} } : { status: 409, body: refusal });
    return true;
  }
  if (path === '/orders') {
    sendJson(response, { status: 200, body: { orders: model.orderHandler.executed } });
    return true;
  }
  return false;
}
