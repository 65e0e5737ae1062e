/** Cuts byte streams into frames with a length before each. */
export { FrameSplitter, type FrameTooLarge, addLengthPrefix } from './frameSplitter.js';
