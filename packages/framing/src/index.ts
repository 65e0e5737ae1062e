/** Splits byte streams into length-prefixed frames. */
export { FrameSplitter, type FrameTooLarge, addLengthPrefix } from './frameSplitter.js';
