/** What operators write and ask: the rules file and its differences. */
export {};
