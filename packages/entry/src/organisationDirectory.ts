import type { Configuration } from '@galenatiller/types';

/** Looks up organisations by the hash of a bearer key. */
export class OrganisationDirectory {
  private indexedConfiguration: Configuration | undefined;

  private namesByKeyHash: ReadonlyMap<string, string> = new Map();

  private constructor(private readonly readConfiguration: () => Configuration) {}

  /** Creates a directory over the active configuration. */
  static create(opts: { readonly readConfiguration: () => Configuration }): OrganisationDirectory {
    return new OrganisationDirectory(opts.readConfiguration);
  }

  /** Returns the name of the organisation with this key hash, or an empty string. */
  findByKeyHash(keyHash: string): string {
    const configuration = this.readConfiguration();
    if (configuration !== this.indexedConfiguration) {
      this.rebuildIndex(configuration);
    }
    return this.namesByKeyHash.get(keyHash) ?? '';
  }

  private rebuildIndex(configuration: Configuration): void {
    this.indexedConfiguration = configuration;
    this.namesByKeyHash = new Map(
      [...configuration.organisations.values()].flatMap((organisation) =>
        organisation.keyHashes.map((keyHash) => [keyHash, organisation.name] as const),
      ),
    );
  }
}
