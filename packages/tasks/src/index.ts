/** Mailboxes and task groups that connection tasks are written with. */
export { Mailbox } from './mailbox.js';
export { TaskGroup } from './taskGroup.js';
export { whenAborted } from './whenAborted.js';
