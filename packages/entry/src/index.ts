/** The entry role: walks the stages of a call under one deadline. */
export {};
