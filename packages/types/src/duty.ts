/** The name of a duty, which one router performs at a time. */
export type DutyName = 'usage' | 'scale';

/** That this node holds a duty now. */
export interface DutyHolding {
  /** Fencing token; it grows whenever the holder changes or takes a new one. */
  readonly token: number;
  /** Rises by one with each token that this node has taken; work that was begun under another one has to be checked again. */
  readonly epoch: number;
}

/** A duty as its users see it: asked for immediately before each call that is sent under it. */
export interface Duty {
  readonly name: DutyName;
  /** Undefined while this node doesn't hold the duty, or can't be sure that it still does. */
  readonly current: () => DutyHolding | undefined;
  /** Ends the holding, because a call with this token was rejected in favour of a higher one. */
  readonly onRefused: (token: number) => void;
  /** Takes a higher token while holding the duty; false if this node doesn't hold it any more. */
  readonly renewToken: (opts: { readonly signal: AbortSignal }) => Promise<boolean>;
  /** Names of the live routers in the order in which they take the duty; the first is or becomes the holder. */
  readonly candidates: () => readonly string[];
  /** Calls a function when the holding or the order of candidates changes; returns a function that ends that. */
  readonly onChange: (notify: () => void) => () => void;
}
