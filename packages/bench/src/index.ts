/** Exports nothing: each bench is a program with a main module of its own. */
export {};
