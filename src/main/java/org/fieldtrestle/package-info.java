/**
 * The process: its command lines, its event loop and connections, and the program that the build
 * runs to record the classes that a controller loads.
 *
 * <p>The package owns the event loop and decides how the sockets are divided among their uses. No
 * other package uses it. Its programs are started by the platform ({@link
 * org.fieldtrestle.ControllerMain}), by operators ({@link org.fieldtrestle.Main}) and by the build
 * ({@link org.fieldtrestle.ClassListRecorder}).
 */
package org.fieldtrestle;
