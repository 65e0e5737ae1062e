/** Talks to model engines, and decides how much load one can take. */
export { runGeneration, type RunGenerationOptions } from './runGeneration.js';
