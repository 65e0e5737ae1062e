import type { Configuration } from '@galenatiller/types';

/** Finds organisations by the hash of a bearer key. */
export class OrganisationDirectory {
  private indexed: Configuration | undefined;

  private byKeyHash: ReadonlyMap<string, string> = new Map();

  private constructor(private readonly readConfiguration: () => Configuration) {}

  /** Makes a directory that follows the configuration in force. */
  static create(opts: { readonly readConfiguration: () => Configuration }): OrganisationDirectory {
    return new OrganisationDirectory(opts.readConfiguration);
  }

  /** Name of the organisation with this key hash; empty when there is none. */
  findByKeyHash(keyHash: string): string {
    const configuration = this.readConfiguration();
    if (configuration !== this.indexed) {
      this.index(configuration);
    }
    return this.byKeyHash.get(keyHash) ?? '';
  }

  private index(configuration: Configuration): void {
    this.indexed = configuration;
    this.byKeyHash = new Map(
      [...configuration.organisations.values()].flatMap((organisation) =>
        organisation.keyHashes.map((keyHash) => [keyHash, organisation.name] as const),
      ),
    );
  }
}
