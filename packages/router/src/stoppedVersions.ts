/** Versions of one service that are remembered; those that were stopped first are forgotten beyond it. */
const MAX_VERSIONS = 32;

/** A version of a service. */
export interface ServiceVersion {
  readonly service: string;
  readonly version: string;
}

/**
 * Versions that get no calls beside the one that is rolled out: they were found bad, or given up for another
 * order before they were proved good. An order that names a version allows it again.
 */
export class StoppedVersions {
  private readonly byService = new Map<string, readonly string[]>();

  private constructor(
    private readonly onChange: (service: string, versions: readonly string[]) => void,
  ) {}

  /** Creates an instance without versions; `onChange` is called with all versions of a service. */
  static create(opts: {
    readonly onChange: (service: string, versions: readonly string[]) => void;
  }): StoppedVersions {
    return new StoppedVersions(opts.onChange);
  }

  /** Number of versions of all services. */
  get size(): number {
    return [...this.byService.values()].reduce((sum, versions) => sum + versions.length, 0);
  }

  /** The versions of a service, the one that was stopped first at the start. */
  list(service: string): readonly string[] {
    return this.byService.get(service) ?? [];
  }

  /** Whether a version gets no calls. */
  has({ service, version }: ServiceVersion): boolean {
    return this.list(service).includes(version);
  }

  /** Stops a version. */
  stop({ service, version }: ServiceVersion): void {
    this.set(service, [...this.list(service).filter((other) => other !== version), version]);
  }

  /** Allows a version again. */
  allow({ service, version }: ServiceVersion): void {
    this.set(
      service,
      this.list(service).filter((other) => other !== version),
    );
  }

  /** Replaces the versions of a service by those that are known elsewhere. */
  set(service: string, versions: readonly string[]): void {
    const before = this.list(service);
    const kept = versions.slice(-MAX_VERSIONS);
    if (kept.length === before.length && kept.every((version) => before.includes(version))) {
      return;
    }
    this.byService.set(service, kept);
    this.onChange(service, kept);
  }
}
