/** An order that changes what an engine has loaded or does. */
export interface EngineOrder {
  readonly kind: 'load-model' | 'load-adapter' | 'load-version' | 'change-role';
  /** Name of the model, adapter, version or role. */
  readonly name: string;
  /** Grows with each holder of the lease to give orders. */
  readonly fencingNumber: number;
}

/** The load of an engine as it tells it, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Share of the prefix cache in use. */
  readonly cacheUsedShare: number;
  readonly version: string;
  readonly role: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
}
