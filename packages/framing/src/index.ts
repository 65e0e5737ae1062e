/** Cuts byte streams into frames with a length before each. */
export { FrameCutter, type FrameTooLarge, prefixLength } from './frameCutter.js';
