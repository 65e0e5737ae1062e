import type { RelayedEntry } from './relayTypes.js';

/** Larger responses would keep the link from its other frames. */
const MAX_RESPONSE_BYTES = 65_536;

/** Bytes of an entry beside its key and its value. */
const ENTRY_BYTES = 40;

/** Takes as many of the first items as fit into a response, at least one. */
export function takeFitting<Item>(
  items: readonly Item[],
  entryOf: (item: Item) => RelayedEntry | undefined,
): { readonly fitting: readonly Item[]; readonly hasMore: boolean } {
  let bytes = 0;
  const end = items.findIndex((item, index) => {
    bytes += ENTRY_BYTES + sizeOf(entryOf(item));
    return index > 0 && bytes > MAX_RESPONSE_BYTES;
  });
  return end === -1
    ? { fitting: items, hasMore: false }
    : { fitting: items.slice(0, end), hasMore: true };
}

function sizeOf(entry: RelayedEntry | undefined): number {
  if (!entry) {
    return 0;
  }
  return entry.key.length + ('outline' in entry ? entry.outline.parts : entry.value).length;
}
