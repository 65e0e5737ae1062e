/** Stand-ins of the systems that galenatiller serves, with faults on order. */
export * from './store/index.js';
