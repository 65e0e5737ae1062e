/** Building blocks of connection tasks: mailboxes and task groups. */
export { Mailbox } from './mailbox.js';
export { TaskGroup } from './taskGroup.js';
export { whenAborted } from './whenAborted.js';
