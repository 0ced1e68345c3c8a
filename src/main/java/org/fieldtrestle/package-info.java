/**
 * The process: its command lines, its event loop and connections, and the run of the build that
 * records the classes a controller loads.
 *
 * <p>The package owns the event loop and decides on the size of each share of the sockets. Nobody
 * calls it but the platform ({@link org.fieldtrestle.ControllerMain}), operators ({@link
 * org.fieldtrestle.Main}) and the build ({@link org.fieldtrestle.ClassListRecorder}).
 */
package org.fieldtrestle;
