/** Items that all nodes get; `merge` returns the items that were new. */
export interface SharedItems<Item> {
  readonly all: () => readonly Item[];
  readonly merge: (items: readonly Item[]) => readonly Item[];
}
