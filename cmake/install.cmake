# Installs the library, its headers and a package that find_package(yuccaspan) finds.
include(CMakePackageConfigHelpers)

install(TARGETS yuccaspan EXPORT yuccaspanTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/yuccaspan DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(EXPORT yuccaspanTargets NAMESPACE yuccaspan::
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/yuccaspan)
configure_package_config_file(cmake/yuccaspanConfig.cmake.in
    ${CMAKE_CURRENT_BINARY_DIR}/yuccaspanConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/yuccaspan)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/yuccaspanConfigVersion.cmake
    COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/yuccaspanConfig.cmake
    ${CMAKE_CURRENT_BINARY_DIR}/yuccaspanConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/yuccaspan)
