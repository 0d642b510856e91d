/** Front door of the package. */
export {};
