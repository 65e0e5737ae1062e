/** Building blocks of connection tasks: mailboxes and task groups. */
export { linkAborts, type LinkedAbort } from './linkAborts.js';
export { Mailbox } from './mailbox.js';
export { TaskGroup } from './taskGroup.js';
export { whenPolled } from './whenPolled.js';
export { whenAborted } from './whenAborted.js';
