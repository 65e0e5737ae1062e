/** A bounded ring of typed events with hybrid logical clock stamps. */
export {};
