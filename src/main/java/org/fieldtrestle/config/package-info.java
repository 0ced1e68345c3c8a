/**
 * The settings of a controller: those of the platform ({@link org.fieldtrestle.config.Settings})
 * and those of the operators ({@link org.fieldtrestle.config.OperatorSettings}), with the parsers
 * of their files.
 *
 * <p>The field names of the files appear only in this package's parsers and checks. Settings are
 * immutable and read once, when a process starts; every package and every thread may use them. The
 * package depends only on {@code protocol}, for its JSON trees.
 */
package org.fieldtrestle.config;
