/**
 * The settings of a controller: the platform's file ({@link org.fieldtrestle.config.Settings}) and
 * the operators' own file ({@link org.fieldtrestle.config.OperatorSettings}), with their parsers.
 *
 * <p>The names of the files' fields appear in the parsers alone. Settings are immutable and read
 * once, when a process starts; they may be used by every package and from every thread. The package
 * depends on {@code protocol} alone, for its JSON trees.
 */
package org.fieldtrestle.config;
