/** The link between entries and gates: frames, handshake, membership and routing. */
export { acceptLinks, type AcceptLinksOptions, type LinkServer } from './acceptLinks.js';
export {
  ConfigurationExchange,
  type ConfigurationExchangeOptions,
  type ConfigurationOffer,
  type RemoteOffer,
} from './configurationExchange.js';
export { endOfError } from './endOfError.js';
export { type FactSet, FleetNews, type FleetNewsOptions } from './fleetNews.js';
export type * from './frames.js';
export { type HandshakeOptions, shakeHands } from './handshake.js';
export { type Link, SocketLink } from './link.js';
export { openLink, type OpenLinkOptions, type ProvedLink } from './openLink.js';
export { encodeFrame, FrameDecoder } from './wireFrame.js';
